#include "trefoilmill_entry/peer_datagrams.h"

#include <utility>

#include "trefoilmill/wire/peer_codec.h"

namespace trefoilmill::entry {
namespace {

std::string EncodeMessage(const peer_message& message) {
  return EncodePeerFrame({.sent = {}, .message = message});
}

}  // namespace

result<std::unique_ptr<peer_datagrams>> peer_datagrams::Bind(
    event_loop& loop,
    const socket_address& address,
    telemetry& process_telemetry,
    message_callback on_message) {
  std::unique_ptr<peer_datagrams> created(
      new peer_datagrams(process_telemetry, std::move(on_message)));
  auto socket = datagram_socket::Bind(
      loop, address,
      [datagrams = created.get()](const socket_address& from,
                                  const std::string& bytes) {
        datagrams->OnDatagram(from, bytes);
      });
  if (!socket.has_value()) {
    return socket.error();
  }
  created->socket_ = std::move(socket.value());
  return created;
}

peer_datagrams::peer_datagrams(telemetry& process_telemetry,
                               message_callback on_message)
    : telemetry_(process_telemetry), on_message_(std::move(on_message)) {}

void peer_datagrams::Send(const host_id& to, const peer_message& message) {
  const auto address = addresses_.AddressOf(to);
  if (address.has_value()) {
    SendFrame(*address, EncodeMessage(message));
  }
}

void peer_datagrams::SendToAll(const std::vector<host_record>& hosts,
                               const peer_message& message) {
  const std::string frame = EncodeMessage(message);
  for (const host_record& host : hosts) {
    SendFrame(host.peer, frame);
  }
}

void peer_datagrams::SendHello(const std::vector<socket_address>& seeds,
                               const hello_message& hello) {
  const std::string frame = EncodeMessage(hello);
  for (const socket_address& seed : seeds) {
    socket_->Send(seed, frame);
  }
}

void peer_datagrams::SendFrame(const socket_address& to,
                               const std::string& frame) {
  telemetry_.meter->Increment(metric::kPeerBytes, {"control", "out"},
                              static_cast<double>(frame.size()));
  socket_->Send(to, frame);
}

void peer_datagrams::OnDatagram(const socket_address& from,
                                const std::string& bytes) {
  const auto frame = DecodePeerFrame(bytes);
  if (!frame.has_value()) {
    telemetry_.log->Warning("malformed datagram ignored",
                            {.detail = frame.error().detail});
    return;
  }
  telemetry_.meter->Increment(metric::kPeerBytes, {"control", "in"},
                              static_cast<double>(bytes.size()));
  const peer_message& message = frame.value().message;
  addresses_.RecordHostsIn(message);
  const auto sender = addresses_.HostAt(from);
  if (sender.has_value()) {
    on_message_(*sender, message);
  }
}

}  // namespace trefoilmill::entry
