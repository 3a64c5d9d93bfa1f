#include "trefoilmill/wire/copy_codec.h"

#include <utility>

#include "bounded_cbor.h"
#include "object_reader.h"
#include "wire_json.h"

namespace trefoilmill {
namespace {

constexpr std::size_t kFieldsOfObject = 3;
constexpr integer_range kMillicores = {0, 1'000'000};

bool IsObject(const json& item) {
  return item.is_array() && item.size() == kFieldsOfObject &&
         item[0].is_string() && item[2].is_string();
}

}  // namespace

std::string EncodeCopy(const store_follower::copy& copy) {
  json objects = json::array();
  for (const stored_object& object : copy.objects) {
    objects.push_back({object.name, RevisionJson(object.at), object.content});
  }
  const json whole = {RevisionJson(copy.as_of), std::move(objects)};
  std::string bytes;
  json::to_cbor(whole, bytes);
  return bytes;
}

result<store_follower::copy> DecodeCopy(const std::string& bytes) {
  const json whole = ParseBoundedCbor(bytes);
  store_follower::copy copy;
  if (!whole.is_array() || whole.size() != 2 ||
      !ReadRevision(whole[0], copy.as_of) || !whole[1].is_array()) {
    return Malformed(reason_code::kBadRequest, "not a copy of objects");
  }
  for (const json& item : whole[1]) {
    revision at;
    if (!IsObject(item) || !ReadRevision(item[1], at)) {
      return Malformed(reason_code::kBadRequest, "not an object in the copy");
    }
    copy.objects.push_back({.name = item[0].get<std::string>(),
                            .at = at,
                            .content = item[2].get<std::string>()});
  }
  return copy;
}

std::string WriteHostRecord(const host_record& record) {
  return Dump(json{{"host", record.id.value()},
                   {"availability_zone", record.zone.value()},
                   {"peers", AddressJson(record.peer)},
                   {"callers", AddressJson(record.callers)},
                   {"millicores", record.millicores}});
}

result<host_record> ReadHostRecord(const std::string& text) {
  const json value = ParseStrictJson(text);
  diagnostics errors({});
  object_reader reader(value, "", errors);
  host_record record;
  reader.Id("host", text_rule::kAny, presence::kRequired, record.id);
  reader.Id("availability_zone", text_rule::kAny, presence::kRequired,
            record.zone);
  reader.Address("peers", presence::kRequired, record.peer);
  reader.Address("callers", presence::kRequired, record.callers);
  reader.Integer("millicores", kMillicores, presence::kOptional,
                 record.millicores);
  if (!errors.errors().empty()) {
    return AsFailure(errors);
  }
  record.administration = record.peer;
  return record;
}

}  // namespace trefoilmill
