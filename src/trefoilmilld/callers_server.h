/// The callers' HTTP interface: queries, cancellation, the entry list. See
/// docs/PROTOCOLS.md.
#ifndef TREFOILMILLD_CALLERS_SERVER_H_
#define TREFOILMILLD_CALLERS_SERVER_H_

#include <memory>

#include "trefoilmill/net/event_loop.h"
#include "trefoilmill/net/http.h"
#include "trefoilmill/settings.h"
#include "trefoilmilld/entry_task.h"
#include "trefoilmilld/fleet_task.h"

namespace trefoilmill {

class callers_server {
 public:
  static result<std::unique_ptr<callers_server>> Listen(
      event_loop& loop,
      const daemon_settings& settings,
      entry_task& entry,
      const fleet_task& fleet);

  /// The host is leaving: the entry lists say so and connections end after
  /// their replies.
  void Leave();
  /// The host takes no new queries from now on.
  void Drain();
  std::size_t requests_in_progress() const;

 private:
  callers_server(entry_task& entry, const fleet_task& fleet);

  void Route(const http_request& request, const http_responder& responder);
  void OnQuery(const http_request& request, const http_responder& responder);
  void OnCancel(const http_request& request, const http_responder& responder);
  void OnEntries(const http_request& request, const http_responder& responder);

  entry_task& entry_;
  const fleet_task& fleet_;
  std::unique_ptr<http_server> server_;
  bool leaving_ = false;
  bool draining_ = false;
};

}  // namespace trefoilmill

#endif  // TREFOILMILLD_CALLERS_SERVER_H_
