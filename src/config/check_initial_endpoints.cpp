// Checks `known`, the endpoint list that a process starts with.
#include <set>
#include <string>
#include <utility>

#include "config/host_port.h"
#include "config/section_checks.h"

namespace lemonchute::config {
namespace {

using nlohmann::json;

std::set<std::string> NamesIn(const json& settings, const char* key) {
  std::set<std::string> names;
  auto list = settings.find(key);
  if (list == settings.end() || !list->is_array()) return names;
  for (const json& name : *list) {
    if (name.is_string()) names.insert(SanitizeName(name.get_ref<const std::string&>()));
  }
  return names;
}

// Findings are faults at a start and questionable afterwards, when the list is no longer read.
class InitialEndpointsCheck {
 public:
  InitialEndpointsCheck(const json& settings, bool started, FaultReporter* reporter)
      : zones_(NamesIn(settings, "zones")),
        kinds_(NamesIn(settings, "kinds")),
        started_(started),
        reporter_(reporter) {}

  void Run(const json& known) {
    if (!known.is_object()) return WrongType("/known", "an object", known);
    auto index = known.find("index"), snapshot = known.find("snapshot"), endpoints = known.find("endpoints");
    if (index == known.end() || !index->is_number()) Report("/known/index", "must be a number");
    if (snapshot == known.end() || !snapshot->is_boolean()) {
      Report("/known/snapshot", "must be true or false");
    }
    if (endpoints == known.end() || !endpoints->is_array()) {
      return Report("/known/endpoints", "must be a list");
    }
    for (size_t i = 0; i < endpoints->size(); ++i) {
      const std::string path = ChildPath("/known/endpoints", i);
      const json& endpoint = (*endpoints)[i];
      endpoint.is_object() ? CheckEndpoint(endpoint, path) : WrongType(path, "an object", endpoint);
    }
  }

 private:
  enum class Presence { kRequired, kOptional };

  void Report(const std::string& path, const std::string& message) {
    started_ ? reporter_->Questionable(path, message) : reporter_->Fault(path, message);
  }
  void WrongType(const std::string& path, const char* expected, const json& actual) {
    Report(path, std::string("must be ") + expected + ", and is " + TypeName(actual));
  }

  const std::string* FindText(const json& endpoint, const std::string& path, const char* key,
                              Presence presence) {
    auto field = endpoint.find(key);
    if (field != endpoint.end() && field->is_string()) return field->get_ptr<const std::string*>();
    if (presence == Presence::kRequired || field != endpoint.end())
      Report(ChildPath(path, key), "must be a text");
    return nullptr;
  }

  void CheckEndpoint(const json& endpoint, const std::string& path) {
    FindText(endpoint, path, "name", Presence::kRequired);
    const std::string* status = FindText(endpoint, path, "status", Presence::kRequired);
    const bool reachable = status != nullptr && (*status == "active" || *status == "leaving");
    if (status != nullptr && !reachable && *status != "left") {
      Report(ChildPath(path, "status"), "must be one of active, leaving, left, and is " + Printable(*status));
    }
    const std::string* address =
        FindText(endpoint, path, "address", reachable ? Presence::kRequired : Presence::kOptional);
    if (address != nullptr && !ParseHostPort(*address)) {
      Report(ChildPath(path, "address"), "is no address such as 10.0.0.4:5000: " + Printable(*address));
    }
    CheckListed(endpoint, path, "zone", zones_);
    CheckListed(endpoint, path, "type", kinds_);
    for (const char* key : {"group", "weight", "since_ms"}) {
      auto field = endpoint.find(key);
      if (field != endpoint.end() && !field->is_number()) WrongType(ChildPath(path, key), "a number", *field);
    }
  }

  // An unknown zone or type is a warning, for either author.
  void CheckListed(const json& endpoint, const std::string& path, const char* key,
                   const std::set<std::string>& names) {
    const std::string* name = FindText(endpoint, path, key, Presence::kOptional);
    if (name == nullptr || names.count(SanitizeName(*name)) != 0) return;
    reporter_->Warning(ChildPath(path, key), "is not named in the settings: " + Printable(*name));
  }

  const std::set<std::string> zones_, kinds_;
  const bool started_;
  FaultReporter* reporter_;
};

}  // namespace

void CheckInitialEndpoints(const json& document, const json& settings, bool started,
                           FaultReporter* reporter) {
  auto known = document.find("known");
  if (known == document.end() || known->is_null()) return;
  InitialEndpointsCheck(settings, started, reporter).Run(*known);
}

}  // namespace lemonchute::config
