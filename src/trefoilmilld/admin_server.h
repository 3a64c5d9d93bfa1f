/// The operators' HTTP interface: status, configuration, zones, the time line,
/// metrics. See docs/PROTOCOLS.md.
#ifndef TREFOILMILLD_ADMIN_SERVER_H_
#define TREFOILMILLD_ADMIN_SERVER_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <string>

#include "trefoilmill/host_lifecycle.h"
#include "trefoilmill/net/event_loop.h"
#include "trefoilmill/net/http.h"
#include "trefoilmill/settings.h"
#include "trefoilmilld/document_task.h"
#include "trefoilmilld/document_writer.h"
#include "trefoilmilld/entry_task.h"
#include "trefoilmilld/fleet_task.h"
#include "trefoilmilld/metrics_report.h"
#include "trefoilmilld/owner_task.h"
#include "trefoilmilld/telemetry.h"

namespace trefoilmill {

/// What the interface shows and changes.
struct admin_view {
  fleet_task& fleet;
  document_task& documents;
  entry_task& entry;
  owner_task& owner;
  document_writer& writer;
  store_client& store;
  telemetry& trace;
  const host_lifecycle& lifecycle;
};

class admin_server {
 public:
  static result<std::unique_ptr<admin_server>> Listen(
      event_loop& loop,
      const daemon_settings& settings,
      const admin_view& view);

  /// Operators' requests that have no answer yet.
  std::size_t requests_in_progress() const {
    return server_->requests_in_progress();
  }

 private:
  explicit admin_server(const admin_view& view);

  void Route(const http_request& request, const http_responder& responder);
  void GetStatus(const http_responder& responder) const;
  void GetConfig(const http_responder& responder) const;
  void PostConfig(const http_request& request, const http_responder& responder);
  void GetZones(const http_responder& responder) const;
  void PostZones(const http_request& request, const http_responder& responder);
  void GetTimeline(const http_request& request,
                   const http_responder& responder) const;
  /// The newest revision known to be stored, in force or refused; 0 before the
  /// first.
  revision PresentRevision(const document_id& id) const;
  /// The stored revision that a change is to replace; unset `wished`: whatever
  /// is there.
  revision RevisionToReplace(const document_id& id,
                             const std::optional<revision>& wished) const;
  /// Writes over `expected` and answers with what came of it.
  void WriteDocument(const document_id& id,
                     revision expected,
                     const std::string& body,
                     const http_responder& responder);
  void GetMetrics(const http_responder& responder);
  void GetHealth(const http_responder& responder) const;

  admin_view view_;
  metrics_report metrics_;
  std::unique_ptr<http_server> server_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILLD_ADMIN_SERVER_H_
