/// All endpoints of one stand-in process and its control address.
#ifndef TREFOILMILL_TM_ENDPOINT_ENDPOINT_PROCESS_H_
#define TREFOILMILL_TM_ENDPOINT_ENDPOINT_PROCESS_H_

#include <memory>
#include <nlohmann/json.hpp>
#include <vector>

#include "libtmstandin/record_log.h"
#include "tm_endpoint/fake_endpoint.h"
#include "trefoilmill/net/event_loop.h"
#include "trefoilmill/net/http.h"
#include "trefoilmill/verdict.h"

namespace trefoilmill {

class endpoint_process {
 public:
  /// Serves what `settings`, the settings file's content, describes.
  static result<std::unique_ptr<endpoint_process>> Create(
      event_loop& loop,
      const nlohmann::json& settings);
  endpoint_process(const endpoint_process&) = delete;
  endpoint_process& operator=(const endpoint_process&) = delete;

  std::uint16_t control_port() const { return control_->port(); }
  const record_log& records() const { return log_; }
  const std::vector<std::unique_ptr<fake_endpoint>>& endpoints() const {
    return endpoints_;
  }

 private:
  endpoint_process() = default;
  void OnControl(const http_request& request, const http_responder& responder);
  http_response Change(const std::string& body);
  http_response Draw(const http_request& request) const;

  record_log log_;
  std::vector<std::unique_ptr<fake_endpoint>> endpoints_;
  std::unique_ptr<http_server> control_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_TM_ENDPOINT_ENDPOINT_PROCESS_H_
