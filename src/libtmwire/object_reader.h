/// Reads the members of one JSON object into typed fields. Each wrong or
/// missing member is an error with its place and what is allowed, and so is a
/// member that nothing asked for.
#ifndef TREFOILMILL_LIBTMWIRE_OBJECT_READER_H_
#define TREFOILMILL_LIBTMWIRE_OBJECT_READER_H_

#include <cstdint>
#include <limits>
#include <string>
#include <type_traits>
#include <vector>

#include "diagnostics.h"
#include "located_json.h"
#include "trefoilmill/ids.h"
#include "trefoilmill/time.h"

namespace trefoilmill {

/// Whether a member may be left out; its field then keeps its value.
enum class presence { kOptional, kRequired };

/// Bounds of a whole number, both allowed.
struct integer_range {
  std::int64_t low;
  std::int64_t high;
};

/// Bounds of a number, both allowed.
struct number_range {
  double low;
  double high;
};

/// Bounds of a time in milliseconds, both allowed.
struct time_range {
  duration low;
  duration high;
};

/// One name out of several and what it stands for.
template <class value>
struct choice {
  std::string name;
  value means;
};

/// Which texts a member may have.
enum class text_rule {
  kAny,         ///< Any, also empty.
  kName,        ///< 1 to 64 of a-z, 0-9, "-" and "_", not starting with "-".
  kRequestId,   ///< 1 to 64 of letters, digits, "_", "." and "-".
  kCallerName,  ///< 1 to 128 printable ASCII characters.
  kIpNumber,    ///< A dotted quad.
};

/// Whether `text` obeys `rule`.
bool Obeys(const std::string& text, text_rule rule);

/// What `rule` allows, in words.
std::string Describe(text_rule rule);

class object_reader {
 public:
  /// A value that is not an object is an error, and has no members.
  object_reader(const json& value, std::string path, diagnostics& errors);

  void Text(const std::string& key,
            text_rule rule,
            presence need,
            std::string& out);
  void Flag(const std::string& key, presence need, bool& out);
  void Number(const std::string& key,
              number_range range,
              presence need,
              double& out);
  /// A number of milliseconds, fractions allowed.
  void Milliseconds(const std::string& key,
                    time_range range,
                    presence need,
                    duration& out);
  void Address(const std::string& key, presence need, socket_address& out);
  /// A list of addresses.
  void Addresses(const std::string& key,
                 presence need,
                 std::vector<socket_address>& out);

  template <class integer>
  void Integer(const std::string& key,
               integer_range range,
               presence need,
               integer& out) {
    std::int64_t read = 0;
    if (ReadInteger(key, range, need, read)) {
      out = static_cast<integer>(read);
    }
  }

  /// A text that names an identifier.
  template <class tag>
  void Id(const std::string& key,
          text_rule rule,
          presence need,
          strong_id<tag, std::string>& out) {
    std::string read = out.value();
    Text(key, rule, need, read);
    out = strong_id<tag, std::string>(std::move(read));
  }

  template <class value>
  void Choice(const std::string& key,
              const std::vector<choice<value>>& choices,
              presence need,
              value& out) {
    std::vector<std::string> names;
    names.reserve(choices.size());
    for (const auto& one : choices) {
      names.push_back(one.name);
    }
    const int index = ReadChoice(key, names, need);
    if (index >= 0) {
      out = choices[static_cast<std::size_t>(index)].means;
    }
  }

  /// The member itself; null if it is missing.
  const json* Member(const std::string& key, presence need);

  /// An error about a member.
  void AddError(const std::string& key, std::string message);

  /// Reports members that nothing asked for. Call it last.
  void Finish();

  std::string PathOf(const std::string& key) const;
  bool is_object() const { return value_.is_object(); }
  diagnostics& errors() { return errors_; }

 private:
  bool ReadInteger(const std::string& key,
                   integer_range range,
                   presence need,
                   std::int64_t& out);
  int ReadChoice(const std::string& key,
                 const std::vector<std::string>& names,
                 presence need);

  const json& value_;
  std::string path_;
  diagnostics& errors_;
  std::vector<std::string> known_;
};

/// Reads an IP number and port, `{"ip": "127.0.0.1", "port": 8000}`.
socket_address ReadAddress(const json& value,
                           const std::string& path,
                           diagnostics& errors);

/// A short name of a value's type, with its article.
std::string TypeName(const json& value);

}  // namespace trefoilmill

#endif  // TREFOILMILL_LIBTMWIRE_OBJECT_READER_H_
