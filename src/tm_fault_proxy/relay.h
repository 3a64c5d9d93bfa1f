/// One connection through the proxy: a client's, and the one made for it to
/// the upstream.
#ifndef TM_FAULT_PROXY_RELAY_H_
#define TM_FAULT_PROXY_RELAY_H_

#include <event2/util.h>

#include <functional>
#include <memory>
#include <random>
#include <string>

#include "proxy_config.h"
#include "trefoilmill/net/event_loop.h"

namespace trefoilmill {

class relay {
 public:
  /// Called once with "closed", "reset" or "upstream_refused"; the relay may
  /// be destroyed soon after, not from within.
  using on_ended = std::function<void(const std::string& how)>;

  /// Takes over `client` and connects to `upstream`. `faults` and `random`
  /// must outlive it.
  static std::unique_ptr<relay> Create(event_loop& loop,
                                       evutil_socket_t client,
                                       const socket_address& upstream,
                                       const listener_faults& faults,
                                       std::mt19937_64& random,
                                       on_ended ended);
  ~relay();

  /// The faults have changed.
  void Refresh();
  /// Resets both ends at once.
  void Cut();

  struct impl;
  explicit relay(std::unique_ptr<impl> state);

 private:
  std::unique_ptr<impl> impl_;
};

}  // namespace trefoilmill

#endif  // TM_FAULT_PROXY_RELAY_H_
