/// Kept and mutated inputs through the decoders of settings and of other hosts'
/// messages.
#define BOOST_TEST_MODULE wire_corpus
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>

#include "corpus_replay_test.h"
#include "trefoilmill/wire/copy_codec.h"
#include "trefoilmill/wire/document_splitter.h"
#include "trefoilmill/wire/entry_settings_codec.h"
#include "trefoilmill/wire/hand_over_codec.h"
#include "trefoilmill/wire/part_codec.h"
#include "trefoilmill/wire/peer_codec.h"
#include "trefoilmill/wire/quarantine_codec.h"
#include "trefoilmill/wire/settings_codec.h"

namespace trefoilmill {
namespace {

/// Settings come without errors, or errors with places in the text.
template <class settings>
decoding<settings> DecodingOf(const std::string& text,
                              const parsed_settings<settings>& parsed) {
  BOOST_REQUIRE(parsed.value.has_value() == parsed.errors.empty());
  const auto lines = std::ranges::count(text, '\n') + 1;
  std::string errors;
  for (const config_error& error : parsed.errors) {
    BOOST_REQUIRE(error.line >= 1);
    BOOST_REQUIRE(error.line <= lines);
    BOOST_REQUIRE(!error.message.empty());
    errors += ToString(error) + "\n";
  }
  return {.made = parsed.value, .error = errors};
}

/// What decodes is encoded again to bytes that decode to the same.
template <class value, class encoder, class decoder>
decoding<std::string> Reencoded(const result<value>& decoded,
                                const encoder& encode,
                                const decoder& decode) {
  if (decoded.has_error()) {
    return DecodingOf(result<std::string>(decoded.error()));
  }
  const std::string bytes = encode(decoded.value());
  const auto again = decode(bytes);
  BOOST_REQUIRE(again.has_value());
  BOOST_REQUIRE(encode(again.value()) == bytes);
  return {.made = bytes, .error = ""};
}

}  // namespace

BOOST_AUTO_TEST_CASE(entry_settings_decoder) {
  ReplayCorpus("entry_settings", [](const std::string& text) {
    const auto decoded = DecodingOf(text, ParseEntrySettings(text, "f"));
    if (decoded.made.has_value()) {
      BOOST_REQUIRE(decoded.made->grace > duration::zero());
      BOOST_REQUIRE(decoded.made->drain > duration::zero());
      BOOST_REQUIRE(decoded.made->extra_sends.window > duration::zero());
    }
    return decoded;
  });
}

BOOST_AUTO_TEST_CASE(daemon_settings_decoder) {
  ReplayCorpus("daemon_settings", [](const std::string& text) {
    return DecodingOf(text, ParseDaemonSettings(text, "f"));
  });
}

BOOST_AUTO_TEST_CASE(peer_frame_decoder) {
  ReplayCorpus("peer_frame", [](const std::string& bytes) {
    return Reencoded(DecodePeerFrame(bytes), EncodePeerFrame, DecodePeerFrame);
  });
}

BOOST_AUTO_TEST_CASE(copy_decoder) {
  ReplayCorpus("copy", [](const std::string& bytes) {
    return Reencoded(DecodeCopy(bytes), EncodeCopy, DecodeCopy);
  });
}

BOOST_AUTO_TEST_CASE(document_splitter) {
  ReplayCorpus("document", [](const std::string& text) {
    return Reencoded(SplitDocument(text), JoinDocument, SplitDocument);
  });
}

BOOST_AUTO_TEST_CASE(parts_request_decoder) {
  ReplayCorpus("parts_request", [](const std::string& bytes) {
    return Reencoded(DecodePartsRequest(bytes), EncodePartsRequest,
                     DecodePartsRequest);
  });
}

BOOST_AUTO_TEST_CASE(parts_page_decoder) {
  ReplayCorpus("parts_page", [](const std::string& bytes) {
    return Reencoded(DecodePartsPage(bytes), EncodePartsPage, DecodePartsPage);
  });
}

BOOST_AUTO_TEST_CASE(host_record_decoder) {
  ReplayCorpus("host_record", [](const std::string& text) {
    return Reencoded(ReadHostRecord(text), WriteHostRecord, ReadHostRecord);
  });
}

BOOST_AUTO_TEST_CASE(hand_over_decoder) {
  ReplayCorpus("hand_over", [](const std::string& text) {
    return Reencoded(DecodeHandOver(text), EncodeHandOver, DecodeHandOver);
  });
}

BOOST_AUTO_TEST_CASE(quarantine_record_decoder) {
  constexpr std::uint64_t kNowUs = 1'790'000'000'000'000;
  ReplayCorpus("quarantine_record", [](const std::string& text) {
    return Reencoded(
        ReadQuarantineRecord(text, kNowUs),
        [](const quarantine_report& report) {
          return WriteQuarantineRecord(report, kNowUs);
        },
        [](const std::string& again) {
          return ReadQuarantineRecord(again, kNowUs);
        });
  });
}

}  // namespace trefoilmill
