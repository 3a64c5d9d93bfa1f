/// Bytes of callers, changed at random, through the server, the conversion and
/// the connection to an endpoint. Guards against anything that an endpoint
/// would read as a request and that no caller sent as one.
#define BOOST_TEST_MODULE request_relay_fuzz
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <charconv>
#include <cstdint>
#include <cstdlib>
#include <memory>
#include <optional>
#include <ostream>
#include <regex>
#include <string>
#include <utility>
#include <vector>

#include "libtmnet/message_cases_test.h"
#include "libtmnet/net_test_support.h"
#include "libtmwire/input_mutator_test.h"
#include "platform/http_conversion.h"
#include "trefoilmill/net/http.h"

namespace trefoilmill {
namespace {

/// A longer run by hand: `-- 100000`.
constexpr int kRounds = 1500;
constexpr std::uint64_t kFirstSeed = 1;

struct read_request {
  std::string method;
  std::string target;
  std::string body;
  bool operator==(const read_request&) const = default;
};

std::ostream& operator<<(std::ostream& out, const read_request& r) {
  return out << r.method << ' ' << r.target << " '" << r.body << "'";
}

/// What RFC 9112 makes of a text, by another way than message_framing: on the
/// whole text, with expressions.
class strict_reader {
 public:
  explicit strict_reader(std::string text) : text_(std::move(text)) {}

  /// The requests up to the first that is malformed or not complete.
  std::vector<read_request> ReadAll() {
    std::vector<read_request> read;
    while (auto request = ReadOne()) {
      read.push_back(*std::move(request));
    }
    return read;
  }
  /// Whether ReadAll() read the whole text.
  bool at_end() const { return at_ == text_.size(); }

 private:
  static constexpr int kDecimal = 10;
  static constexpr int kHexadecimal = 16;

  std::optional<read_request> ReadOne() {
    static const std::regex head_form(
        "([!#$%&'*+.^_`|~0-9A-Za-z-]+) ([^\\x00-\\x20\\x7f]+) HTTP/1\\.([01])"
        "\r\n((?:[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\\x00-\\x08\\x0a-\\x1f\\x7f]*"
        "\r\n)*)\r\n");
    const std::size_t begin = at_;
    const auto end = text_.find("\r\n\r\n", begin);
    if (end == std::string::npos) {
      return std::nullopt;
    }
    const std::string head = text_.substr(begin, end + 4 - begin);
    std::smatch parts;
    if (!std::regex_match(head, parts, head_form)) {
      return std::nullopt;
    }
    at_ = end + 4;
    auto body = ReadBody(parts[4], parts[3] == "0");
    if (!body.has_value()) {
      at_ = begin;
      return std::nullopt;
    }
    return read_request{parts[1], parts[2], *std::move(body)};
  }

  /// The values of the header `name`, without the spaces around them.
  static std::vector<std::string> ValuesOf(const std::string& headers,
                                           const std::string& name) {
    const std::regex form("(?:^|\n)" + name + ":[ \t]*([^\r]*?)[ \t]*\r",
                          std::regex::icase);
    std::vector<std::string> values;
    for (std::sregex_iterator match(headers.begin(), headers.end(), form), none;
         match != none; ++match) {
      values.push_back((*match)[1]);
    }
    return values;
  }

  static std::optional<std::size_t> NumberOf(const std::string& digits,
                                             int base) {
    static const std::regex form("[0-9A-Fa-f]{1,15}");
    std::size_t value = 0;
    const char* const end = digits.data() + digits.size();
    const auto parsed = std::from_chars(digits.data(), end, value, base);
    return std::regex_match(digits, form) && parsed.ptr == end
               ? std::optional(value)
               : std::nullopt;
  }

  std::optional<std::string> ReadBody(const std::string& headers,
                                      bool is_version_1_0) {
    const auto lengths = ValuesOf(headers, "content-length");
    const auto codings = ValuesOf(headers, "transfer-encoding");
    if (ValuesOf(headers, "host").size() > 1 || lengths.size() > 1 ||
        codings.size() + lengths.size() > 1) {
      return std::nullopt;
    }
    if (!codings.empty()) {
      static const std::regex chunked("chunked", std::regex::icase);
      return !is_version_1_0 && std::regex_match(codings[0], chunked)
                 ? ReadChunks()
                 : std::nullopt;
    }
    if (lengths.empty()) {
      return "";
    }
    const auto length = NumberOf(lengths[0], kDecimal);
    return length.has_value() ? ReadBytes(*length) : std::nullopt;
  }

  std::optional<std::string> ReadBytes(std::size_t count) {
    if (count > text_.size() - at_) {
      return std::nullopt;
    }
    at_ += count;
    return text_.substr(at_ - count, count);
  }

  std::optional<std::string> ReadLine() {
    const auto end = text_.find("\r\n", at_);
    return end == std::string::npos ? std::nullopt : ReadBytes(end - at_);
  }

  std::optional<std::string> ReadChunks() {
    std::string body;
    for (;;) {
      const auto size = NumberOf(ReadLine().value_or(""), kHexadecimal);
      if (!size.has_value() || !ReadBytes(2).has_value()) {
        return std::nullopt;
      }
      if (*size == 0) {
        return ReadTrailers() ? std::optional(body) : std::nullopt;
      }
      const auto chunk = ReadBytes(*size);
      if (!chunk.has_value() || ReadBytes(2) != "\r\n") {
        return std::nullopt;
      }
      body += *chunk;
    }
  }

  bool ReadTrailers() {
    static const std::regex form("[!#$%&'*+.^_`|~0-9A-Za-z-]+(:.*)?");
    for (;;) {
      const auto line = ReadLine();
      if (!line.has_value() || !ReadBytes(2).has_value()) {
        return false;
      }
      if (line->empty()) {
        return true;
      }
      if (!std::regex_match(*line, form)) {
        return false;
      }
    }
  }

  std::string text_;
  std::size_t at_ = 0;
};

/// A server whose requests are sent on to one endpoint, by one connection that
/// stays open: what a request left behind would be read before the next one.
struct relay {
  std::unique_ptr<event_loop> loop = MakeLoop();
  raw_server endpoint{*loop, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
                      raw_server_action::kKeepOpen};
  std::unique_ptr<http_connection> connection =
      http_connection::Create(*loop, {kTestIp, endpoint.port()}, {});
  int sent_on = 0;
  std::unique_ptr<http_server> server =
      std::move(http_server::Listen(*loop,
                                    {kTestIp, 0},
                                    {.target_only = true},
                                    [this](const http_request& request,
                                           const http_responder& responder) {
                                      SendOn(request, responder);
                                    })
                    .value());

  void SendOn(const http_request& request, const http_responder& responder) {
    ++sent_on;
    const http_request converted = platform::MakeEndpointRequest(
        request, organisation_id("pemberton"), endpoint_id("e1"),
        std::chrono::seconds(1));
    connection->Send(converted, kTestTimeout,
                     [this, responder](const http_result& exchange) {
                       --sent_on;
                       const bool answered = exchange.response.has_value();
                       responder.Send({.status = answered ? 200 : 502});
                     });
  }

  /// Sends `text` in the parts that end at `splits`; returns what the endpoint
  /// got.
  std::string Play(const std::string& text,
                   const std::vector<std::size_t>& splits) {
    const std::size_t before = endpoint.received().size();
    bool connected = connection->connected();
    if (!connected) {
      connection->Connect([&](bool success) { connected = success; });
    }
    BOOST_REQUIRE(RunUntil(*loop, [&] { return connected; }));
    {
      raw_client caller(*loop, server->port());
      std::size_t written = 0;
      for (const std::size_t split : splits) {
        caller.Write(text.substr(written, split - written));
        written = split;
        RunFor(*loop, std::chrono::microseconds(200));
      }
      caller.Write(text.substr(written));
      RunFor(*loop, std::chrono::milliseconds(2));
    }
    // Nothing of this text is left then to arrive beside the next one.
    BOOST_REQUIRE(RunUntil(*loop, [&] {
      return server->open_connections() == 0 && sent_on == 0;
    }));
    return endpoint.received().substr(before);
  }
};

/// Requests, well-formed or not, with others in their bodies and behind them.
std::string MakeText(input_mutator& random) {
  std::string text;
  for (std::size_t left = 1 + random.Pick(3); left > 0; --left) {
    const std::string& hidden =
        request_cases[random.Pick(request_cases.size() - 1)].bytes;
    switch (random.Pick(2)) {
      case 0:
        text += hidden;
        break;
      case 1:
        text.append(request_head)
            .append("Content-Length: ")
            .append(std::to_string(hidden.size()))
            .append("\r\n\r\n")
            .append(hidden);
        break;
      default:
        text.append(
            "DELETE /book/2 HTTP/1.1\r\nHost: h\r\nX-Note: a b\r\n\r\n");
    }
  }
  return random.Pick(2) == 0 ? text : random.Mutate(text);
}

int Rounds() {
  const auto& arguments = boost::unit_test::framework::master_test_suite();
  return arguments.argc > 1 ? std::atoi(arguments.argv[1]) : kRounds;
}

}  // namespace

// Each that the endpoint got was sent, with this method and body, in this
// order; others may have been rejected.
BOOST_FIXTURE_TEST_CASE(an_endpoint_gets_what_callers_sent, relay) {
  std::size_t arrived = 0;
  for (int round = 0; round < Rounds(); ++round) {
    const std::uint64_t seed = kFirstSeed + static_cast<std::uint64_t>(round);
    input_mutator random(seed);
    const std::string text = MakeText(random);
    std::vector<std::size_t> splits(random.Pick(2));
    std::ranges::generate(splits, [&] { return random.Pick(text.size()); });
    std::ranges::sort(splits);
    BOOST_TEST_CONTEXT("seed " << seed << ": " << text) {
      const auto sent = strict_reader(text).ReadAll();
      strict_reader reader(Play(text, splits));
      const auto received = reader.ReadAll();
      BOOST_TEST(reader.at_end());
      auto next = sent.begin();
      for (const read_request& request : received) {
        next = std::find(next, sent.end(), request);
        BOOST_TEST_INFO(request);
        BOOST_REQUIRE((next != sent.end()));
        ++next;
      }
      arrived += received.size();
    }
  }
  BOOST_TEST(arrived >= static_cast<std::size_t>(Rounds()) / 2);
}

}  // namespace trefoilmill
