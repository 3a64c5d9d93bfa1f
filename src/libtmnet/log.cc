#include "trefoilmill/net/log.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sinks/unlocked_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/make_shared.hpp>
#include <boost/shared_ptr.hpp>
#include <chrono>
#include <fstream>
#include <iostream>
#include <unordered_map>
#include <utility>

namespace trefoilmill {
namespace {

namespace logging = boost::log;
using text_sink =
    logging::sinks::synchronous_sink<logging::sinks::text_ostream_backend>;

/// Opens `file` for appending, or standard error if it is empty. Null if the
/// file cannot be opened.
boost::shared_ptr<std::ostream> OpenStream(const std::string& file) {
  if (file.empty()) {
    return {&std::cerr, boost::null_deleter()};
  }
  auto stream = boost::make_shared<std::ofstream>(file, std::ios::app);
  return stream->is_open() ? boost::shared_ptr<std::ostream>(stream) : nullptr;
}

/// A sink that flushes `stream` after each record.
boost::shared_ptr<text_sink> MakeSink(
    const boost::shared_ptr<std::ostream>& stream) {
  auto backend = boost::make_shared<logging::sinks::text_ostream_backend>();
  backend->add_stream(stream);
  backend->auto_flush(true);
  auto sink = boost::make_shared<text_sink>(backend);
  sink->set_formatter(logging::expressions::stream
                      << logging::expressions::smessage);
  return sink;
}

/// Buffers lines for standard output and writes them without blocking. A pipe
/// that polls as writable accepts kMaxWriteBytes (PIPE_BUF on Linux), so
/// Flush() writes at most that much between two polls.
class stdout_backend : public logging::sinks::basic_formatted_sink_backend<
                           char,
                           logging::sinks::concurrent_feeding> {
 public:
  /// Called by Boost.Log for each formatted record.
  void consume(const logging::record_view&, const std::string& line) {
    if (pending_.size() + line.size() > kMaxPendingBytes) {
      ++dropped_;
      return;
    }
    pending_ += line;
    pending_ += '\n';
  }

  void Flush() {
    while (!pending_.empty() && IsWritable()) {
      const std::size_t size = std::min(pending_.size(), kMaxWriteBytes);
      const ssize_t written = write(STDOUT_FILENO, pending_.data(), size);
      if (written <= 0) {
        return;
      }
      pending_.erase(0, static_cast<std::size_t>(written));
    }
  }

  std::uint64_t dropped_lines() const { return dropped_; }

 private:
  static constexpr std::size_t kMaxWriteBytes = 4096;
  static constexpr std::size_t kMaxPendingBytes = 65536;

  static bool IsWritable() {
    pollfd out{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
    return poll(&out, 1, 0) == 1 && (out.revents & POLLOUT) != 0;
  }

  std::string pending_;
  std::uint64_t dropped_ = 0;
};

using stdout_sink = logging::sinks::unlocked_sink<stdout_backend>;

/// Rate limit state of one message.
struct message_quota {
  /// Start of the current window, in seconds since 1970.
  std::uint64_t second = 0;
  /// Lines written in the current window.
  int written = 0;
  /// Lines suppressed since the last one that was written.
  std::int64_t suppressed = 0;
};

/// The system clock, in microseconds since 1970.
std::uint64_t SystemTimeMicros() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

}  // namespace

struct logger::impl {
  log_level level;
  host_id host;
  int max_lines_per_second = 0;
  /// Null unless the log goes to standard output.
  boost::shared_ptr<stdout_backend> stdout_buffer;
  boost::shared_ptr<logging::sinks::sink> sink;
  logging::sources::severity_logger<log_level> source;
  std::unordered_map<std::string, message_quota> quotas;

  /// Counts a line of `message` against its quota for the second that contains
  /// `wall_us`; false if the line must be suppressed.
  bool TakeQuota(const std::string& message, std::uint64_t wall_us);
};

bool logger::impl::TakeQuota(const std::string& message,
                             std::uint64_t wall_us) {
  constexpr std::uint64_t kWindowUs = 1'000'000;
  message_quota& quota = quotas[message];
  if (quota.second != wall_us / kWindowUs) {
    quota.second = wall_us / kWindowUs;
    quota.written = 0;
  }
  if (quota.written >= max_lines_per_second) {
    ++quota.suppressed;
    return false;
  }
  ++quota.written;
  return true;
}

result<std::unique_ptr<logger>> logger::Create(const options& opts) {
  if (opts.to_stdout) {
    auto state = std::make_unique<impl>();
    state->level = opts.level;
    state->host = opts.host;
    state->max_lines_per_second = opts.max_lines_per_second;
    state->stdout_buffer = boost::make_shared<stdout_backend>();
    auto sink = boost::make_shared<stdout_sink>(state->stdout_buffer);
    sink->set_formatter(logging::expressions::stream
                        << logging::expressions::smessage);
    state->sink = sink;
    logging::core::get()->add_sink(state->sink);
    return std::unique_ptr<logger>(new logger(std::move(state)));
  }
  const auto stream = OpenStream(opts.file);
  if (stream == nullptr) {
    return failure{.outcome = verdict::kNotRun,
                   .reason = reason_code::kBadRequest,
                   .detail = "cannot open log file " + opts.file,
                   .retry_after = std::nullopt};
  }
  auto state = std::make_unique<impl>();
  state->level = opts.level;
  state->host = opts.host;
  state->max_lines_per_second = opts.max_lines_per_second;
  state->sink = MakeSink(stream);
  logging::core::get()->add_sink(state->sink);
  return std::unique_ptr<logger>(new logger(std::move(state)));
}

logger::logger(std::unique_ptr<impl> state) : impl_(std::move(state)) {}

logger::~logger() {
  Flush();
  logging::core::get()->remove_sink(impl_->sink);
  impl_->sink->flush();
}

void logger::Flush() {
  if (impl_->stdout_buffer != nullptr) {
    impl_->stdout_buffer->Flush();
  }
}

std::uint64_t logger::dropped_lines() const {
  return impl_->stdout_buffer == nullptr
             ? 0
             : impl_->stdout_buffer->dropped_lines();
}

void logger::Debug(const std::string& message, const log_fields& fields) {
  Write(log_level::kDebug, message, fields);
}

void logger::Info(const std::string& message, const log_fields& fields) {
  Write(log_level::kInfo, message, fields);
}

void logger::Warning(const std::string& message, const log_fields& fields) {
  Write(log_level::kWarning, message, fields);
}

void logger::Error(const std::string& message, const log_fields& fields) {
  Write(log_level::kError, message, fields);
}

void logger::Write(log_level level,
                   const std::string& message,
                   const log_fields& fields) {
  if (level < impl_->level) {
    return;
  }
  const std::uint64_t wall_us = SystemTimeMicros();
  log_record record{.wall_us = wall_us,
                    .level = level,
                    .host = impl_->host,
                    .message = message,
                    .fields = fields};
  if (impl_->max_lines_per_second > 0) {
    if (!impl_->TakeQuota(message, wall_us)) {
      return;
    }
    std::int64_t& suppressed = impl_->quotas[message].suppressed;
    if (suppressed > 0) {
      record.fields.inputs.emplace_back("left_out", suppressed);
      suppressed = 0;
    }
  }
  const std::string line = WriteLogRecord(record);
  BOOST_LOG_SEV(impl_->source, level) << line;
}

}  // namespace trefoilmill
