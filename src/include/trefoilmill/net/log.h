/// Structured log of a process: one JSON object per line, written through
/// Boost.Log to a file, standard error or standard output.
#ifndef TREFOILMILL_NET_LOG_H_
#define TREFOILMILL_NET_LOG_H_

#include <cstdint>
#include <memory>
#include <string>

#include "trefoilmill/settings.h"
#include "trefoilmill/verdict.h"
#include "trefoilmill/wire/log_codec.h"

namespace trefoilmill {

/// Writes records at or above its level. Files and standard error are flushed
/// after each record; standard output is buffered until Flush(). At most one
/// logger may exist per process at a time. Not thread-safe.
class logger {
 public:
  struct options {
    log_level level = log_level::kInfo;
    /// Path of the log file, which is appended to; empty for standard error.
    std::string file;
    /// Writes to standard output instead of `file`, without blocking if its
    /// reader is slow: lines that do not fit into the buffer are dropped and
    /// counted. Requires regular calls of Flush().
    bool to_stdout = false;
    /// Maximum lines per second for each distinct message. The number of
    /// suppressed lines is written as `left_out` in the next line of that
    /// message. 0 for no limit.
    int max_lines_per_second = 0;
    /// Written as `host` in every record.
    host_id host;
  };

  /// Fails with kBadRequest if the file cannot be opened.
  static result<std::unique_ptr<logger>> Create(const options& opts);
  ~logger();
  logger(const logger&) = delete;
  logger& operator=(const logger&) = delete;

  /// `message` is a constant text for each kind of event, as the rate limit is
  /// counted per message; variable data belongs in `fields`.
  void Debug(const std::string& message, const log_fields& fields = {});
  void Info(const std::string& message, const log_fields& fields = {});
  void Warning(const std::string& message, const log_fields& fields = {});
  void Error(const std::string& message, const log_fields& fields = {});

  /// Writes buffered lines to standard output, as many as it accepts without
  /// blocking. No effect for other outputs.
  void Flush();
  /// Number of lines dropped because the standard output buffer was full.
  std::uint64_t dropped_lines() const;

 private:
  struct impl;
  explicit logger(std::unique_ptr<impl> state);
  void Write(log_level level,
             const std::string& message,
             const log_fields& fields);

  std::unique_ptr<impl> impl_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_NET_LOG_H_
