/// The fault proxy: listeners and the control address. A stand-in for a bad
/// network in tests; see docs/PROTOCOLS.md.
#ifndef TM_FAULT_PROXY_FAULT_PROXY_H_
#define TM_FAULT_PROXY_FAULT_PROXY_H_

#include <memory>
#include <random>
#include <vector>

#include "libtmstandin/record_log.h"
#include "proxy_config.h"
#include "proxy_listener.h"
#include "trefoilmill/net/event_loop.h"
#include "trefoilmill/net/http.h"

namespace trefoilmill {

class fault_proxy {
 public:
  /// Binds every address. Fails with kConnectionRefused if one is taken.
  static result<std::unique_ptr<fault_proxy>> Create(
      event_loop& loop,
      const nlohmann::json& settings);

  /// `POST /control`, `GET /control/records`, `GET /control/summary`.
  http_response Answer(const http_request& request);

 private:
  fault_proxy(event_loop& loop, std::uint64_t seed);
  http_response Change(const std::string& body);
  result<void> ChangeOne(proxy_listener& listener,
                         const nlohmann::json& change);

  event_loop& loop_;
  std::mt19937_64 random_;
  record_log records_;
  std::vector<std::unique_ptr<proxy_listener>> listeners_;
  std::unique_ptr<http_server> control_;
};

}  // namespace trefoilmill

#endif  // TM_FAULT_PROXY_FAULT_PROXY_H_
