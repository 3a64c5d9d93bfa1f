/// One function per command. Results go to standard output, errors to standard
/// error.
#ifndef TREFOILMILL_TREFOILMILLCTL_COMMANDS_H_
#define TREFOILMILL_TREFOILMILLCTL_COMMANDS_H_

#include <optional>
#include <string>

#include "api.h"
#include "exit_code.h"
#include "options.h"
#include "trefoilmill/wire/admin_codec.h"

namespace trefoilmill {

exit_code Run(const common_options& common,
              daemon_api& api,
              const validate_options& options);
exit_code Run(const common_options& common,
              daemon_api& api,
              const render_options& options);
exit_code Run(const common_options& common,
              daemon_api& api,
              const apply_options& options);
exit_code Run(const common_options& common,
              daemon_api& api,
              const get_options& options);
exit_code Run(const common_options& common,
              daemon_api& api,
              const diff_options& options);
exit_code Run(const common_options& common,
              daemon_api& api,
              const status_options& options);
exit_code Run(const common_options& common,
              daemon_api& api,
              const zone_options& options);
exit_code Run(const common_options& common,
              daemon_api& api,
              const entries_options& options);
exit_code Run(const common_options& common,
              daemon_api& api,
              const query_options& options);
exit_code Run(const common_options& common,
              daemon_api& api,
              const cancel_options& options);
exit_code Run(const common_options& common,
              daemon_api& api,
              const timeline_options& options);
exit_code Run(const common_options& common,
              daemon_api& api,
              const explain_options& options);
exit_code Run(const common_options& common,
              daemon_api& api,
              const rollouts_options& options);

/// @name Shared between commands
/// @{

/// A GET on an administration address.
call_outcome Get(const common_options& common,
                 daemon_api& api,
                 const std::string& path);

/// Reports a call without a usable response, and says what that means.
exit_code ReportFailure(const call_outcome& outcome);

/// The deployment in force; `absent` if there is none yet.
struct present_config {
  std::optional<config_reply> reply;
  bool absent = false;
  /// Set if neither: the error was reported.
  exit_code failed = exit_code::kDone;
};
present_config ReadConfig(const common_options& common, daemon_api& api);

/// Waits until every live host has `document` at `at` or above in force.
exit_code WaitInForce(const common_options& common,
                      daemon_api& api,
                      const document_id& document,
                      revision at,
                      duration limit);
/// @}

}  // namespace trefoilmill

#endif  // TREFOILMILL_TREFOILMILLCTL_COMMANDS_H_
