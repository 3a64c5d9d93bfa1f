/// Changes inputs of decoders at random: the same seed makes the same changes.
#ifndef TREFOILMILL_LIBTMWIRE_INPUT_MUTATOR_TEST_H_
#define TREFOILMILL_LIBTMWIRE_INPUT_MUTATOR_TEST_H_

#include <algorithm>
#include <array>
#include <cstdint>
#include <limits>
#include <random>
#include <string>

namespace trefoilmill {

/// Pieces of JSON, CBOR and HTTP headers that decoders have tripped over.
inline const std::array mutation_tokens = {
    std::string("null"),
    std::string("-1"),
    std::string("1e400"),
    std::string("18446744073709551616"),
    std::string("{"),
    std::string("]"),
    std::string("\""),
    std::string("\\ud800"),
    std::string("\xff"),
    std::string("\0", 1),
    std::string("/*"),
    std::string("{\"$param\": \"slots\"}"),
    std::string("1.5"),
    std::string("\"\""),
    std::string(200, '['),
    std::string("true"),
    std::string("\n\n"),
    std::string("\"127.0.0.1\""),
    std::string("1e308"),
    std::string("-0.0"),
    std::string("nan"),
    std::string("9223372036854775807"),
    std::string("-9223372036854775808"),
    std::string("18446744073709551615"),
    // The greatest and least integers of CBOR, NaN, and openings without end.
    std::string("\x1b\xff\xff\xff\xff\xff\xff\xff\xff"),
    std::string("\x3b\x7f\xff\xff\xff\xff\xff\xff\xff"),
    std::string("\x3b\xff\xff\xff\xff\xff\xff\xff\xff"),
    std::string("\xf9\x7e\x00", 3),
    std::string("\x9f"),
    std::string("\xbf\x60"),
};

class input_mutator {
 public:
  explicit input_mutator(std::uint64_t seed) : random_(seed) {}

  std::string RandomBytes() {
    std::string text(Pick(kMaxRandomBytes), '\0');
    std::ranges::generate(text, [this] { return RandomByte(); });
    return text;
  }

  std::string Mutate(std::string text) {
    for (std::size_t left = 1 + Pick(kMaxChanges - 1); left > 0; --left) {
      ChangeOnce(text);
    }
    return text;
  }

  /// The beginning of one input and the end of another.
  std::string Splice(const std::string& first, const std::string& second) {
    return first.substr(0, Pick(first.size())) +
           second.substr(Pick(second.size()));
  }

  /// A number from 0 to `most`.
  std::size_t Pick(std::size_t most) {
    return std::uniform_int_distribution<std::size_t>(0, most)(random_);
  }

 private:
  static constexpr std::size_t kMaxRandomBytes = 300;
  static constexpr int kMaxChanges = 6;
  static constexpr std::size_t kMaxChangedBytes = 20;

  char RandomByte() {
    return static_cast<char>(Pick(std::numeric_limits<unsigned char>::max()));
  }

  void ChangeOnce(std::string& text) {
    const std::size_t at = Pick(text.size());
    const std::size_t length =
        std::min(Pick(kMaxChangedBytes), text.size() - at);
    switch (Pick(4)) {
      case 0:
        text.replace(at, length,
                     mutation_tokens.at(Pick(mutation_tokens.size() - 1)));
        break;
      case 1:
        text.erase(at, length);
        break;
      case 2:
        text.insert(Pick(text.size()), text.substr(at, length));
        break;
      case 3:
        text.resize(at);
        break;
      default:
        if (at < text.size()) {
          text[at] = RandomByte();
        }
    }
  }

  std::mt19937_64 random_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_LIBTMWIRE_INPUT_MUTATOR_TEST_H_
