/// The process's log: JSON lines by Boost.Log, to a file or standard error.
#ifndef TREFOILMILL_NET_LOG_H_
#define TREFOILMILL_NET_LOG_H_

#include <cstdint>
#include <memory>
#include <string>

#include "trefoilmill/settings.h"
#include "trefoilmill/verdict.h"
#include "trefoilmill/wire/log_codec.h"

namespace trefoilmill {

/// Writes records at or above its level, flushed at once unless they go to
/// standard output. At most one logger at a time per process.
class logger {
 public:
  struct options {
    log_level level = log_level::kInfo;
    /// Empty for standard error; an existing file is continued.
    std::string file;
    /// Writes to standard output in place of the above, and never waits for
    /// whoever reads it: lines that find no room are dropped and counted.
    /// Call Flush() regularly.
    bool to_stdout = false;
    /// Lines a second of one message, at most; what is left out is counted and
    /// said in the next line of that message. 0 for no bound.
    int lines_per_second = 0;
    /// Named in every record.
    host_id host;
  };

  /// Fails with kBadRequest if the file cannot be opened.
  static result<std::unique_ptr<logger>> Create(const options& opts);
  ~logger();
  logger(const logger&) = delete;
  logger& operator=(const logger&) = delete;

  /// `message` is the same sentence for every event of its kind; what differs
  /// goes into `fields`.
  void Debug(const std::string& message, const log_fields& fields = {});
  void Info(const std::string& message, const log_fields& fields = {});
  void Warning(const std::string& message, const log_fields& fields = {});
  void Error(const std::string& message, const log_fields& fields = {});

  /// Writes what waits for standard output, as far as that takes it.
  void Flush();
  /// Lines that were never written because nobody read the earlier ones.
  std::uint64_t dropped() const;

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
