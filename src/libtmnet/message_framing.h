/// Where the messages of an HTTP/1 connection begin and end.
///
/// evhttp is lenient: it leaves the bodies of some methods unread, takes the
/// first of several lengths, and skips what it cannot read as a header. Bytes
/// of a body that it leaves unread would be taken for the next message.
/// message_framing reads the same bytes strictly, so that a message which
/// evhttp delimits in another way is recognized and rejected.
#ifndef TREFOILMILL_LIBTMNET_MESSAGE_FRAMING_H_
#define TREFOILMILL_LIBTMNET_MESSAGE_FRAMING_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

namespace trefoilmill {

/// Follows the bytes that one side sends. Once it has found a fault it reads no
/// further, as the rest cannot be delimited.
class message_framing {
 public:
  enum class fault {
    kNone,
    kMalformed,  ///< Not a message, or its length is ambiguous.
    kTooLong,    ///< A line is longer than allowed.
  };
  /// One message, as far as it has been read.
  struct message {
    /// Of a request.
    std::string method;
    /// Number of header fields, without trailers.
    std::size_t headers = 0;
    /// Lines of the head and of trailers, and their bytes.
    std::size_t lines = 0;
    std::size_t line_bytes = 0;
    /// Whether the head is complete.
    bool has_head = false;
    /// Bytes of the body, without the lines that delimit chunks.
    std::uint64_t body_bytes = 0;
    /// Memory that chunks take beyond their bytes.
    std::uint64_t chunk_overhead = 0;
    /// The body ends with the connection.
    bool ends_with_connection = false;
    bool complete = false;
    fault found = fault::kNone;
  };

  /// What messages that were not taken hold, as far as they have been read.
  struct pending_content {
    std::size_t messages = 0;
    /// Lines of heads and trailers, and their bytes.
    std::size_t lines = 0;
    std::size_t line_bytes = 0;
    std::uint64_t body_bytes = 0;
    /// Memory that chunks take beyond their bytes: evhttp may keep the whole
    /// buffer of a read for the byte of a chunk at its end.
    std::uint64_t chunk_overhead = 0;
    friend bool operator==(const pending_content&,
                           const pending_content&) = default;
  };

  /// Requests, one after another. `max_line_bytes` limits each line.
  static message_framing ForRequests(std::size_t max_line_bytes);
  /// One response, and interim ones (1xx) before it. A response to a HEAD
  /// request has no body.
  static message_framing ForResponse(std::size_t max_line_bytes, bool to_head);
  /// Begins anew, with the response to another request.
  void ExpectResponse(bool to_head);

  void Consume(std::string_view bytes);

  /// Whether the oldest message that was not taken has a fault.
  bool is_faulty() const {
    return !messages_.empty() && messages_.front().found != fault::kNone;
  }
  /// Whether no message has begun that was not taken.
  bool empty() const { return messages_.empty(); }
  /// The oldest message that was not taken.
  const message& front() const { return messages_.front(); }
  /// Of all messages that were not taken, and of a line in part.
  pending_content pending() const;
  /// Removes the oldest message. What is left of one that is not complete is
  /// not read.
  message TakeFront();

 private:
  enum class state {
    kStartLine,
    kHeaders,
    kBody,       ///< Of a stated length.
    kChunkSize,  ///< The line before a chunk.
    kChunk,
    kChunkEnd,  ///< The line end after a chunk.
    kTrailers,
    kUntilClose,  ///< A body that ends with the connection.
    kDone,        ///< Nothing more is read.
  };
  /// What the headers say of the body.
  struct body_headers {
    bool has_length = false;
    std::uint64_t length = 0;
    bool is_chunked = false;
    bool has_host = false;
  };

  message_framing(bool is_request, std::size_t max_line_bytes, bool to_head);

  message& current() { return messages_.back(); }
  /// Counts the line of a head or of trailers that was just read.
  void CountLine();
  /// Counts memory that chunks of the current message take.
  void CountChunkOverhead(std::size_t bytes);
  void Fail(fault found);
  /// Takes the next line out of `bytes`; returns whether it is complete, then
  /// in `line_` without its end.
  bool ReadLine(std::string_view& bytes);
  void HandleLine();
  void HandleStartLine();
  void HandleRequestLine();
  void HandleStatusLine();
  void HandleHeader();
  void HandleHeadersEnd();
  void HandleChunkSize();
  /// Counts the part of `bytes` that belongs to the body, and removes it.
  void SkipBody(std::string_view& bytes);
  void Complete();

  bool is_request_;
  std::size_t max_line_bytes_;
  bool to_head_;
  state state_ = state::kStartLine;
  std::string line_;
  /// Whether the message is of HTTP/1.0.
  bool is_version_1_0_ = false;
  int status_ = 0;
  body_headers body_;
  /// Bytes of the body, or of the chunk, that are still to come.
  std::uint64_t left_ = 0;
  /// Few: those that came while a request was in progress.
  std::deque<message> messages_;
  /// Sums over `messages_`.
  pending_content pending_;
};

/// Memory that this content takes, in bytes, while `buffered` bytes have not
/// been read by evhttp. Bytes of the content are there or in evhttp.
std::size_t MemoryOf(const message_framing::pending_content& content,
                     std::size_t buffered);

}  // namespace trefoilmill

#endif  // TREFOILMILL_LIBTMNET_MESSAGE_FRAMING_H_
