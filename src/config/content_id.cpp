#include "config/content_id.h"

#include <boost/endian/conversion.hpp>
#include <boost/uuid/name_generator_sha1.hpp>
#include <boost/uuid/uuid_io.hpp>

namespace lemonchute::config {
namespace {

using nlohmann::json;

boost::uuids::uuid NameBasedUuid(const json& value) {
  boost::uuids::name_generator_sha1 generator(boost::uuids::ns::oid());
  return generator(value.dump(-1, ' ', false, json::error_handler_t::replace));
}

}  // namespace

bool IsProcessLocalKey(std::string_view key) { return key == "seed" || key == "known" || key == "ops"; }

std::string ContentId(const json& document) {
  json content = json::object();
  for (const auto& [key, value] : document.items()) {
    if (!IsProcessLocalKey(key)) content[key] = value;
  }
  return boost::uuids::to_string(NameBasedUuid(content));
}

uint32_t FleetId(const json& document) {
  json common = json::object();
  for (const char* key : {"limits", "peers", "extensions", "settings"}) {
    if (document.contains(key)) common[key] = document.at(key);
  }
  if (auto settings = common.find("settings"); settings != common.end() && settings->is_object()) {
    settings->erase("me");
    settings->erase("zone");
  }
  const boost::uuids::uuid id = NameBasedUuid(common);
  return boost::endian::load_big_u32(&*id.begin());
}

}  // namespace lemonchute::config
