/// One listening address of the proxy and the connections through it.
#ifndef TM_FAULT_PROXY_PROXY_LISTENER_H_
#define TM_FAULT_PROXY_PROXY_LISTENER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "proxy_config.h"
#include "relay.h"
#include "trefoilmill/net/event_loop.h"

struct evconnlistener;
struct sockaddr;

namespace trefoilmill {

class proxy_listener {
 public:
  using on_record = std::function<void(const std::string& event)>;

  /// Fails with kConnectionRefused if the address cannot be bound.
  static result<std::unique_ptr<proxy_listener>> Create(
      event_loop& loop,
      const listener_config& config,
      std::mt19937_64& random,
      on_record record);
  ~proxy_listener();

  const std::string& name() const { return config_.name; }
  const listener_faults& faults() const { return config_.faults; }
  /// Takes effect on open connections as well. Fails if refusing ends and the
  /// address cannot be bound again.
  result<void> SetFaults(const listener_faults& faults);
  /// Resets all open connections.
  void Cut();

 private:
  struct listener_deleter {
    void operator()(evconnlistener* listener) const;
  };

  proxy_listener(event_loop& loop,
                 listener_config config,
                 std::mt19937_64& random,
                 on_record record);
  result<void> Bind();
  void Accept(evutil_socket_t client);
  static void OnAccept(evconnlistener* listener,
                       evutil_socket_t client,
                       sockaddr* peer,
                       int peer_length,
                       void* self);

  event_loop& loop_;
  listener_config config_;
  std::mt19937_64& random_;
  on_record record_;
  std::unique_ptr<evconnlistener, listener_deleter> listener_;
  std::uint64_t last_relay_ = 0;
  std::map<std::uint64_t, std::unique_ptr<relay>> relays_;
};

}  // namespace trefoilmill

#endif  // TM_FAULT_PROXY_PROXY_LISTENER_H_
