/// The stored documents: watches, spreads and puts them in force. Lives as
/// long as the process.
#ifndef TREFOILMILLD_DOCUMENT_TASK_H_
#define TREFOILMILLD_DOCUMENT_TASK_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "trefoilmill/deployment.h"
#include "trefoilmill/document_sync.h"
#include "trefoilmill/settings.h"
#include "trefoilmill/snapshot.h"
#include "trefoilmill/wire/config_error.h"
#include "trefoilmilld/fleet_task.h"
#include "trefoilmilld/store_client.h"
#include "trefoilmilld/telemetry.h"

namespace trefoilmill {

/// @name The documents' names in the store
/// @{
// NOLINTBEGIN(readability-identifier-naming): constants, yet not constexpr.
inline const document_id kDeploymentDocument{"deployment"};
inline const document_id kZonesDocument{"zones"};
inline const document_id kCatalogDocument{"catalog"};
// NOLINTEND(readability-identifier-naming)
/// @}

/// All that is in force on this host.
struct documents_in_force {
  std::shared_ptr<const deployment> config;
  std::shared_ptr<const snapshot_catalog> catalog;
  zone_states zones;
  /// The deployment's text, for operators.
  std::string deployment_text;
  /// What was wrong with parts of the deployment in force.
  std::vector<config_error> deployment_errors;
};

class document_task {
 public:
  /// Called after a document came into force.
  using on_adopted = std::function<void(const document_id& id)>;

  document_task(event_loop& loop,
                const daemon_settings& settings,
                store_client& store,
                fleet_task& fleet,
                telemetry& trace,
                on_adopted adopted);

  /// @name Messages in
  /// @{
  void OnDigests(const host_id& from,
                 const std::vector<document_digest>& digests);
  void OnRequest(const host_id& from, const document_request& request);
  void OnBody(const host_id& from, const document_body& body);
  void OnViewChanged();
  /// An operator's change that this host has written to the store.
  void OnWritten(const document_id& id, revision at, const std::string& body);
  /// @}

  const documents_in_force& in_force() const { return in_force_; }
  const document_status* StatusOf(const document_id& id) const {
    return sync_.StatusOf(id);
  }

 private:
  void Perform(const document_sync::actions& actions);
  void Do(const document_sync::call_store& action);
  void Do(const document_sync::request_from_peer& action);
  void Do(const document_sync::send_body& action);
  void Do(const document_sync::adopt& action);
  void Do(const document_sync::announce& action);
  void Do(const document_sync::wake& action);

  /// Puts a body in force; the reason if it is invalid.
  std::optional<std::string> Adopt(const document_sync::adopt& action);
  std::optional<std::string> AdoptDeployment(const std::string& body);
  std::optional<std::string> AdoptZones(const std::string& body);
  std::optional<std::string> AdoptCatalog(const std::string& body);

  event_loop& loop_;
  store_client& store_;
  fleet_task& fleet_;
  telemetry& trace_;
  on_adopted adopted_;
  document_sync sync_;
  documents_in_force in_force_;
  timer wake_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILLD_DOCUMENT_TASK_H_
