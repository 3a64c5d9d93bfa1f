/// The stand-in for the platform's object store and host list, with outages,
/// slowness and lost replies on demand.
#ifndef TREFOILMILL_TM_OBJECT_STORE_STORE_PROCESS_H_
#define TREFOILMILL_TM_OBJECT_STORE_STORE_PROCESS_H_

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "libtmstandin/record_log.h"
#include "tm_object_store/call_counts.h"
#include "tm_object_store/lagging_host_list.h"
#include "tm_object_store/object_table.h"
#include "trefoilmill/net/event_loop.h"
#include "trefoilmill/net/http.h"
#include "trefoilmill/verdict.h"

namespace trefoilmill {

/// How the store is unreachable during an outage.
enum class outage_kind {
  kHang,    ///< Accepts calls and never answers them.
  kRefuse,  ///< Drops and refuses connections.
};

class store_process {
 public:
  /// Serves what `settings`, the settings file's content, describes.
  static result<std::unique_ptr<store_process>> Create(
      event_loop& loop,
      const nlohmann::json& settings);
  store_process(const store_process&) = delete;
  store_process& operator=(const store_process&) = delete;

  std::uint16_t port() const { return address_.port; }
  std::uint16_t control_port() const { return control_->port(); }
  const record_log& records() const { return log_; }
  std::size_t waiting_watches() const { return watches_.size(); }

 private:
  // What lives for one call.
  struct call {
    call_kind kind = call_kind::kGet;
    http_request request;
    http_responder responder;
    std::string key;
  };
  struct watch {
    call origin;
    revision after;
    timer limit;
  };

  store_process(event_loop& loop, std::string hosts);
  result<void> Listen();

  // Calls: store_calls.cc.
  void OnRequest(const http_request& request, const http_responder& responder);
  void Serve(const call& c);
  void ServeGet(const call& c);
  void ServeWatch(const call& c);
  void ServeList(const call& c);
  void ServeHosts(const call& c);
  void ServePut(const call& c);
  void ServeDelete(const call& c);
  void FinishWrite(const call& c, bool written);
  void AnswerWatches(const std::string& key);
  void Reply(const call& c, int status, std::string body = "");

  // Control: store_process.cc.
  void OnControl(const http_request& request, const http_responder& responder);
  http_response Change(const std::string& body);
  http_response ChangeHosts(const std::string& body);
  bool SetOutage(bool outage, outage_kind kind);

  event_loop& loop_;
  record_log log_;
  call_counts counts_;
  object_table objects_;
  lagging_host_list hosts_;
  socket_address address_;

  bool outage_ = false;
  outage_kind outage_kind_ = outage_kind::kHang;
  duration delay_{};
  duration hosts_lag_{};
  std::uint64_t replies_to_lose_ = 0;

  std::unique_ptr<http_server> server_;
  std::unique_ptr<http_server> control_;
  std::list<watch> watches_;
  /// Calls that an outage leaves without an answer.
  std::list<http_responder> unanswered_;
  std::map<std::uint64_t, timer> delayed_;
  std::uint64_t last_delayed_ = 0;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_TM_OBJECT_STORE_STORE_PROCESS_H_
