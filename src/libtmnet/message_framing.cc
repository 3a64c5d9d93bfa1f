#include "message_framing.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <utility>

#include "trefoilmill/http_message.h"

namespace trefoilmill {
namespace {

constexpr std::string_view kContentLength = "Content-Length";
constexpr std::string_view kTransferEncoding = "Transfer-Encoding";
constexpr std::string_view kHost = "Host";
constexpr int kDecimal = 10;
constexpr int kHexadecimal = 16;
/// Digits of the largest length and chunk size that are accepted; greater ones
/// are beyond any limit of a body.
constexpr std::size_t kMaxLengthDigits = 15;
constexpr std::size_t kStatusDigits = 3;
constexpr int kHttpSwitchingProtocols = 101;
constexpr int kHttpOk = 200;
constexpr int kHttpNoContent = 204;
constexpr int kHttpNotModified = 304;

/// What a byte may be part of.
struct byte_classes {
  /// A method or a header's name (RFC 9110, 5.6.2).
  bool token = false;
  /// A header's value or a reason phrase.
  bool text = false;
};

constexpr std::size_t kByteValues = 256;

constexpr std::array<byte_classes, kByteValues> MakeByteClasses() {
  constexpr std::size_t kFirstPrintable = 0x20;
  constexpr std::size_t kDelete = 0x7f;
  std::array<byte_classes, kByteValues> classes{};
  for (std::size_t code = 0; code < kByteValues; ++code) {
    classes[code].text =
        code == '\t' || (code >= kFirstPrintable && code != kDelete);
  }
  for (const char c : std::string_view(
           "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789"
           "!#$%&'*+-.^_`|~")) {
    classes[static_cast<unsigned char>(c)].token = true;
  }
  return classes;
}

constexpr std::array<byte_classes, kByteValues> kByteClasses =
    MakeByteClasses();

bool IsTokenCharacter(char c) {
  return kByteClasses[static_cast<unsigned char>(c)].token;
}

bool IsToken(std::string_view text) {
  return !text.empty() && std::ranges::all_of(text, &IsTokenCharacter);
}

bool IsTextCharacter(char c) {
  return kByteClasses[static_cast<unsigned char>(c)].text;
}

/// Whether `c` may be part of a request target.
bool IsTargetCharacter(char c) {
  return c != ' ' && c != '\t' && IsTextCharacter(c);
}

/// Only digits: no sign, no prefix, no space.
std::optional<std::uint64_t> ParseLength(std::string_view text, int base) {
  const bool has_digits_only = std::ranges::all_of(text, [base](char c) {
    const bool is_decimal = c >= '0' && c <= '9';
    const bool is_letter = (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
    return is_decimal || (base == kHexadecimal && is_letter);
  });
  if (text.empty() || text.size() > kMaxLengthDigits || !has_digits_only) {
    return std::nullopt;
  }
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value, base);
  return value;
}

std::string_view Trim(std::string_view text) {
  constexpr std::string_view kSpace = " \t";
  const auto begin = text.find_first_not_of(kSpace);
  if (begin == std::string_view::npos) {
    return {};
  }
  return text.substr(begin, text.find_last_not_of(kSpace) - begin + 1);
}

/// Whether the text is "HTTP/1.0" or "HTTP/1.1".
bool IsKnownVersion(std::string_view text) {
  return text == "HTTP/1.1" || text == "HTTP/1.0";
}

constexpr std::size_t kLineEndBytes = 2;
/// Memory of a buffer into which a read puts few bytes.
constexpr std::size_t kLeastBufferBytes = 1088;
/// Memory of one header: evhttp's list, two strings there and two in the copy
/// that the handler gets.
constexpr std::size_t kHeaderBytes = 192;
/// Memory of a message that waits.
constexpr std::size_t kMessageBytes = 128;

}  // namespace

std::size_t MemoryOf(const message_framing::pending_content& content,
                     std::size_t buffered) {
  const std::size_t bytes = content.line_bytes + content.body_bytes;
  return content.messages * kMessageBytes + content.lines * kHeaderBytes +
         std::max(bytes, buffered) + content.chunk_overhead;
}

message_framing::message_framing(bool is_request,
                                 std::size_t max_line_bytes,
                                 bool to_head)
    : is_request_(is_request),
      max_line_bytes_(max_line_bytes),
      to_head_(to_head) {}

message_framing message_framing::ForRequests(std::size_t max_line_bytes) {
  return {true, max_line_bytes, false};
}

message_framing message_framing::ForResponse(std::size_t max_line_bytes,
                                             bool to_head) {
  return {false, max_line_bytes, to_head};
}

void message_framing::ExpectResponse(bool to_head) {
  to_head_ = to_head;
  state_ = state::kStartLine;
  line_.clear();
  messages_.clear();
  pending_ = {};
}

message_framing::pending_content message_framing::pending() const {
  pending_content content = pending_;
  content.messages = messages_.size();
  content.line_bytes += line_.size();
  return content;
}

void message_framing::CountLine() {
  ++current().lines;
  current().line_bytes += line_.size();
  ++pending_.lines;
  pending_.line_bytes += line_.size();
}

void message_framing::CountChunkOverhead(std::size_t bytes) {
  current().chunk_overhead += bytes;
  pending_.chunk_overhead += bytes;
}

message_framing::message message_framing::TakeFront() {
  message taken = std::move(messages_.front());
  messages_.pop_front();
  pending_.lines -= taken.lines;
  pending_.line_bytes -= taken.line_bytes;
  pending_.body_bytes -= taken.body_bytes;
  pending_.chunk_overhead -= taken.chunk_overhead;
  if (messages_.empty() && !taken.complete) {
    state_ = state::kDone;
  }
  return taken;
}

void message_framing::Fail(fault found) {
  if (messages_.empty()) {
    messages_.emplace_back();
  }
  current().found = found;
  state_ = state::kDone;
  line_ = std::string();
}

void message_framing::Consume(std::string_view bytes) {
  const bool in_chunks = state_ == state::kChunkSize ||
                         state_ == state::kChunk || state_ == state::kChunkEnd;
  if (in_chunks && bytes.size() < kLeastBufferBytes) {
    CountChunkOverhead(kLeastBufferBytes - bytes.size());
  }
  while (!bytes.empty() && state_ != state::kDone) {
    switch (state_) {
      case state::kBody:
      case state::kChunk:
      case state::kUntilClose:
        SkipBody(bytes);
        break;
      default:
        if (ReadLine(bytes)) {
          HandleLine();
          line_.clear();
        }
    }
  }
}

void message_framing::SkipBody(std::string_view& bytes) {
  const std::uint64_t size = state_ == state::kUntilClose
                                 ? bytes.size()
                                 : std::min<std::uint64_t>(left_, bytes.size());
  bytes.remove_prefix(size);
  current().body_bytes += size;
  pending_.body_bytes += size;
  if (state_ == state::kUntilClose) {
    return;
  }
  left_ -= size;
  if (left_ > 0) {
    return;
  }
  if (state_ == state::kChunk) {
    state_ = state::kChunkEnd;
  } else {
    Complete();
  }
}

bool message_framing::ReadLine(std::string_view& bytes) {
  if (state_ == state::kStartLine && line_.empty()) {
    messages_.emplace_back();
  }
  const auto end = bytes.find('\n');
  line_ += bytes.substr(0, end);
  if (line_.size() > max_line_bytes_) {
    Fail(fault::kTooLong);
    return false;
  }
  if (end == std::string_view::npos) {
    bytes = {};
    return false;
  }
  bytes.remove_prefix(end + 1);
  const bool has_line_end = !line_.empty() && line_.back() == '\r';
  if (has_line_end) {
    line_.pop_back();
  }
  if (!has_line_end || !std::ranges::all_of(line_, &IsTextCharacter)) {
    Fail(fault::kMalformed);
    return false;
  }
  return true;
}

void message_framing::HandleLine() {
  switch (state_) {
    case state::kStartLine:
      HandleStartLine();
      return;
    case state::kHeaders:
      line_.empty() ? HandleHeadersEnd() : HandleHeader();
      return;
    case state::kChunkSize:
      HandleChunkSize();
      return;
    case state::kChunkEnd:
      CountChunkOverhead(kLineEndBytes);
      line_.empty() ? void(state_ = state::kChunkSize)
                    : Fail(fault::kMalformed);
      return;
    case state::kTrailers:
      if (line_.empty()) {
        Complete();
      } else if (!IsToken(std::string_view(line_).substr(0, line_.find(':')))) {
        Fail(fault::kMalformed);
      } else {
        CountLine();
      }
      return;
    default:
      return;
  }
}

void message_framing::HandleStartLine() {
  CountLine();
  body_ = {};
  state_ = state::kHeaders;
  if (is_request_) {
    HandleRequestLine();
  } else {
    HandleStatusLine();
  }
}

void message_framing::HandleRequestLine() {
  const std::string_view line = line_;
  const auto first = line.find(' ');
  const auto last = line.rfind(' ');
  if (first == std::string_view::npos || first == last) {
    Fail(fault::kMalformed);
    return;
  }
  const std::string_view method = line.substr(0, first);
  const std::string_view target = line.substr(first + 1, last - first - 1);
  const std::string_view version = line.substr(last + 1);
  if (!IsToken(method) || target.empty() ||
      !std::ranges::all_of(target, &IsTargetCharacter) ||
      !IsKnownVersion(version)) {
    Fail(fault::kMalformed);
    return;
  }
  current().method = method;
  is_version_1_0_ = version.back() == '0';
}

void message_framing::HandleStatusLine() {
  constexpr std::size_t kVersionBytes = 8;
  const std::string_view line = line_;
  const std::string_view version = line.substr(0, kVersionBytes);
  const std::string_view rest =
      line.substr(std::min(line.size(), kVersionBytes));
  const std::string_view digits =
      rest.starts_with(' ') ? rest.substr(1, kStatusDigits) : "";
  const int status =
      static_cast<int>(ParseLength(digits, kDecimal).value_or(0));
  const bool ends_after_status =
      rest.size() == 1 + kStatusDigits ||
      (rest.size() > 1 + kStatusDigits && rest[1 + kStatusDigits] == ' ');
  constexpr int kLeastStatus = 100;
  if (!IsKnownVersion(version) || status < kLeastStatus || !ends_after_status) {
    Fail(fault::kMalformed);
    return;
  }
  status_ = status;
  is_version_1_0_ = version.back() == '0';
}

void message_framing::HandleHeader() {
  const std::string_view line = line_;
  const auto colon = line.find(':');
  // This rules out spaces before the colon and lines that continue another.
  if (colon == std::string_view::npos || !IsToken(line.substr(0, colon))) {
    Fail(fault::kMalformed);
    return;
  }
  ++current().headers;
  CountLine();
  const std::string_view name = line.substr(0, colon);
  const std::string_view value = Trim(line.substr(colon + 1));
  if (name.size() == kContentLength.size() &&
      SameHeaderName(name, kContentLength)) {
    const auto length = ParseLength(value, kDecimal);
    if (!length.has_value() || body_.has_length) {
      Fail(fault::kMalformed);
      return;
    }
    body_.has_length = true;
    body_.length = *length;
  } else if (name.size() == kTransferEncoding.size() &&
             SameHeaderName(name, kTransferEncoding)) {
    if (body_.is_chunked || !SameHeaderName(value, "chunked")) {
      Fail(fault::kMalformed);
      return;
    }
    body_.is_chunked = true;
  } else if (is_request_ && name.size() == kHost.size() &&
             SameHeaderName(name, kHost)) {
    if (body_.has_host) {
      Fail(fault::kMalformed);
      return;
    }
    body_.has_host = true;
  }
}

void message_framing::HandleHeadersEnd() {
  current().has_head = true;
  if (body_.is_chunked && (body_.has_length || is_version_1_0_)) {
    Fail(fault::kMalformed);
    return;
  }
  if (!is_request_ && status_ < kHttpOk) {
    if (status_ == kHttpSwitchingProtocols) {
      Fail(fault::kMalformed);
      return;
    }
    // The final response follows.
    pending_ = {};
    messages_.pop_back();
    state_ = state::kStartLine;
    return;
  }
  const bool has_no_body =
      !is_request_ &&
      (to_head_ || status_ == kHttpNoContent || status_ == kHttpNotModified);
  if (has_no_body) {
    Complete();
  } else if (body_.is_chunked) {
    state_ = state::kChunkSize;
  } else if (body_.has_length && body_.length > 0) {
    left_ = body_.length;
    state_ = state::kBody;
  } else if (body_.has_length || is_request_) {
    Complete();
  } else {
    current().ends_with_connection = true;
    state_ = state::kUntilClose;
  }
}

void message_framing::HandleChunkSize() {
  CountChunkOverhead(line_.size() + kLineEndBytes);
  const auto size = ParseLength(line_, kHexadecimal);
  if (!size.has_value()) {
    Fail(fault::kMalformed);
    return;
  }
  left_ = *size;
  state_ = *size == 0 ? state::kTrailers : state::kChunk;
}

void message_framing::Complete() {
  current().complete = true;
  state_ = is_request_ ? state::kStartLine : state::kDone;
}

}  // namespace trefoilmill
