#include "proxy_listener.h"

#include <arpa/inet.h>
#include <event2/listener.h>
#include <netinet/in.h>

#include <utility>

namespace trefoilmill {
namespace {

constexpr int kBacklog = 512;

}  // namespace

void proxy_listener::listener_deleter::operator()(
    evconnlistener* listener) const {
  evconnlistener_free(listener);
}

proxy_listener::proxy_listener(event_loop& loop,
                               listener_config config,
                               std::mt19937_64& random,
                               on_record record)
    : loop_(loop),
      config_(std::move(config)),
      random_(random),
      record_(std::move(record)) {}

proxy_listener::~proxy_listener() = default;

result<std::unique_ptr<proxy_listener>> proxy_listener::Create(
    event_loop& loop,
    const listener_config& config,
    std::mt19937_64& random,
    on_record record) {
  std::unique_ptr<proxy_listener> created(
      new proxy_listener(loop, config, random, std::move(record)));
  if (!config.faults.refuse) {
    BOOST_OUTCOME_TRY(created->Bind());
  }
  return created;
}

result<void> proxy_listener::Bind() {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(config_.listen.port);
  inet_pton(AF_INET, config_.listen.ip.c_str(), &address.sin_addr);
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  listener_.reset(evconnlistener_new_bind(
      loop_.base(), OnAccept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
      kBacklog, generic, sizeof(address)));
  if (listener_ == nullptr) {
    return failure{.outcome = verdict::kNotRun,
                   .reason = reason_code::kConnectionRefused,
                   .detail = "cannot listen for " + config_.name,
                   .retry_after = std::nullopt};
  }
  return outcome::success();
}

void proxy_listener::OnAccept(evconnlistener* /*listener*/,
                              evutil_socket_t client,
                              sockaddr* /*peer*/,
                              int /*peer_length*/,
                              void* self) {
  static_cast<proxy_listener*>(self)->Accept(client);
}

void proxy_listener::Accept(evutil_socket_t client) {
  const std::uint64_t id = ++last_relay_;
  record_("accepted");
  auto ended = [this, id](const std::string& how) {
    record_(how);
    loop_.Post([this, id] { relays_.erase(id); });
  };
  relays_[id] = relay::Create(loop_, client, config_.upstream, config_.faults,
                              random_, std::move(ended));
}

result<void> proxy_listener::SetFaults(const listener_faults& faults) {
  config_.faults = faults;
  if (faults.refuse) {
    listener_.reset();
  } else if (listener_ == nullptr) {
    BOOST_OUTCOME_TRY(Bind());
  }
  for (const auto& [id, open] : relays_) {
    open->Refresh();
  }
  return outcome::success();
}

void proxy_listener::Cut() {
  for (const auto& [id, open] : relays_) {
    open->Cut();
  }
}

}  // namespace trefoilmill
