/// `zone out` and `zone in`.
#include <iostream>
#include <nlohmann/json.hpp>

#include "commands.h"
#include "trefoilmill/wire/zones_codec.h"

namespace trefoilmill {

exit_code Run(const common_options& common,
              daemon_api& api,
              const zone_options& options) {
  constexpr int kOk = 200;
  http_request request;
  request.method = "POST";
  request.path = "/v1/zones";
  request.body =
      WriteZoneChange({.zone = zone_id(options.zone), .out = options.out});
  // Declaring a state twice is the same as once.
  const call_outcome outcome = api.Call(common.administration, request,
                                        common.timeout, repetition::kSafe);
  if (outcome.failed.has_value() && outcome.failed->sent) {
    std::cerr << "sent, but the outcome is unknown: " << outcome.failed->detail
              << "; it is safe to try again\n";
    return exit_code::kUnknown;
  }
  if (!outcome.response.has_value() || outcome.response->status != kOk) {
    return ReportFailure(outcome);
  }
  const auto at = ParseRevision(outcome.response->body);
  if (at.has_error()) {
    std::cerr << "the reply could not be read\n";
    return exit_code::kUnknown;
  }
  const std::string state = options.out ? "out" : "in_service";
  if (common.json) {
    std::cout << nlohmann::json{{"zone", options.zone},
                                {"state", state},
                                {"revision", at.value().value()}}
                     .dump()
              << "\n";
  } else {
    std::cout << options.zone << " is declared " << state << ", revision "
              << at.value().value() << "\n";
  }
  return options.wait ? WaitInForce(common, api, document_id("zones"),
                                    at.value(), options.wait_limit)
                      : exit_code::kDone;
}

}  // namespace trefoilmill
