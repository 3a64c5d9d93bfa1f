/// One stand-in endpoint: limits its connections, starts cold and falls over
/// under more load than it bears, runs a few requests at a time, sheds, drains,
/// cancels and expires, and records all that truly arrived.
#ifndef TREFOILMILL_TM_ENDPOINT_FAKE_ENDPOINT_H_
#define TREFOILMILL_TM_ENDPOINT_FAKE_ENDPOINT_H_

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

#include "libtmstandin/record_log.h"
#include "tm_endpoint/endpoint_settings.h"
#include "tm_endpoint/search_request.h"
#include "trefoilmill/net/event_loop.h"
#include "trefoilmill/net/http.h"
#include "trefoilmill/verdict.h"

namespace trefoilmill {

/// An endpoint on its own listening address. `loop` and `log` must outlive it.
class fake_endpoint {
 public:
  /// Listens and starts a first instance; fails if the address is taken.
  static result<std::unique_ptr<fake_endpoint>>
  Create(event_loop& loop, record_log& log, endpoint_settings settings);
  fake_endpoint(const fake_endpoint&) = delete;
  fake_endpoint& operator=(const fake_endpoint&) = delete;
  ~fake_endpoint();

  const endpoint_settings& settings() const { return settings_; }
  std::uint16_t port() const { return port_; }

  /// Applies the fields of one `POST /control` body, but for `endpoint`. Throws
  /// nlohmann::json::exception on an ill-typed field. False if a field is
  /// unknown; nothing is applied then.
  bool Control(const nlohmann::json& change);

 private:
  enum class phase { kArriving, kQueued, kRunning };

  // What lives for one request.
  struct task {
    search_request request;
    http_responder responder;
    phase at = phase::kArriving;
    time_point expires;
    duration service{};
    // The connection has been closed, though the work goes on.
    bool reset = false;
    timer next;
  };
  using task_handle = std::list<task>::iterator;

  fake_endpoint(event_loop& loop, record_log& log, endpoint_settings settings);

  // Instances: fake_endpoint.cc.
  result<void> Listen();
  void StartInstance();
  void Crash(duration refuse_for);
  void Restart();
  void SetDown(bool down);
  bool Admit();
  void FallOver(const char* cause);
  bool IsCold() const;
  std::string State() const;

  // Requests: fake_endpoint_work.cc.
  void OnRequest(const http_request& request, const http_responder& responder);
  void OnSearch(const http_request& request, const http_responder& responder);
  void OnCancel(const http_request& request, const http_responder& responder);
  void OnHealth(const http_responder& responder);
  bool RefuseAtOnce(const search_request& request,
                    const http_responder& responder);
  bool HasShard(const search_request& request) const;
  void Enqueue(task_handle handle);
  void Expire(task_handle handle);
  void Run(task_handle handle);
  void EndRun(task_handle handle);
  void RunNext();
  void Answer(const task& finished);
  void SendAnswer(const http_responder& responder,
                  const http_response& response);
  std::size_t CountIn(phase p) const;
  bool Chance(double share);

  void Record(const char* event, const nlohmann::json& fields = {});
  void RecordTask(const char* event,
                  const search_request& request,
                  const nlohmann::json& fields = {});

  event_loop& loop_;
  record_log& log_;
  endpoint_settings settings_;
  endpoint_faults faults_;
  std::mt19937_64 generator_;
  std::uint16_t port_ = 0;
  bool down_ = false;

  // What lives for one instance.
  std::unique_ptr<http_server> server_;
  instance_id instance_;
  time_point began_;
  duration work_done_{};
  bool up_ = false;
  std::list<task> tasks_;
  std::set<std::uint64_t> known_connections_;
  std::map<std::uint64_t, timer> late_replies_;
  std::uint64_t last_late_reply_ = 0;
  timer lifecycle_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_TM_ENDPOINT_FAKE_ENDPOINT_H_
