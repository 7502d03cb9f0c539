#include "config/document.h"

#include <algorithm>

namespace lemonchute::config {
namespace {

using nlohmann::json;

constexpr size_t kMostShownLine = 2000;
// Numbers out of range that are named before the reading ends, and bytes that are read again for them.
constexpr size_t kMostRereads = 16, kMostReread = kMostFile;

// Builds the value and notes what a plain parser passes over: keys that occur twice, and depth. Holds a stack
// of its own, so that a deep text takes no more of the thread's than a flat one.
class Builder : public nlohmann::json_sax<json> {
 public:
  bool null() override { return Put(nullptr); }
  bool boolean(bool value) override { return Put(value); }
  bool number_integer(number_integer_t value) override { return Put(value); }
  bool number_unsigned(number_unsigned_t value) override { return Put(value); }
  bool number_float(number_float_t value, const string_t&) override { return Put(value); }
  bool string(string_t& value) override { return Put(std::move(value)); }
  bool binary(binary_t&) override { return false; }
  bool start_object(std::size_t) override { return Open(json::object()); }
  bool start_array(std::size_t) override { return Open(json::array()); }
  bool end_object() override { return Close(); }
  bool end_array() override { return Close(); }
  bool key(string_t& name) override {
    Level& level = stack_.back();
    if (level.value->contains(name)) AddFault(&faults, Step(At(), name), "the key occurs twice");
    level.key = std::move(name);
    return true;
  }
  bool parse_error(std::size_t position, const std::string& last, const json::exception& error) override {
    constexpr int kOutOfRange = 406;  // the library's number for a number that no double holds
    if (error.id == kOutOfRange) {
      overflow_end = position;
      overflow_size = last.size();
      overflow_at = Place();
      return false;
    }
    std::string_view text = error.what();
    size_t intro = text.find("] ");
    if (intro != std::string_view::npos) text.remove_prefix(intro + 2);
    AddFault(&faults, Place(), "no JSON: " + Shown(text, 200));
    return false;
  }

  json root;
  std::vector<Fault> faults;
  std::size_t overflow_end = 0, overflow_size = 0;
  std::string overflow_at;

 private:
  struct Level {
    json* value;
    std::string key;
  };

  // Of the object or list that is open, and of what comes next in it.
  std::string At() const {
    std::string at;
    for (size_t i = 0; i + 1 < stack_.size(); ++i) at = Into(at, stack_[i], true);
    return at;
  }
  std::string Place() const { return stack_.empty() ? "" : Into(At(), stack_.back(), false); }
  // An open list's last item is there already where it is open itself.
  static std::string Into(const std::string& at, const Level& level, bool there) {
    if (level.value->is_object()) return Step(at, level.key);
    return Step(at, level.value->size() - (there ? 1 : 0));
  }

  json* Add(json value) {
    if (stack_.empty()) return &(root = std::move(value));
    Level& level = stack_.back();
    if (level.value->is_object()) return &((*level.value)[level.key] = std::move(value));
    level.value->push_back(std::move(value));
    return &level.value->back();
  }
  bool Put(json value) {
    Add(std::move(value));
    return true;
  }
  bool Open(json value) {
    if (stack_.size() >= static_cast<size_t>(kMostDepth)) {
      AddFault(&faults, Place(), "lies deeper than " + std::to_string(kMostDepth) + " levels");
      return false;
    }
    json* added = Add(std::move(value));
    stack_.push_back({added, ""});
    return true;
  }
  bool Close() {
    stack_.pop_back();
    return true;
  }

  std::vector<Level> stack_;
};

}  // namespace

void AddFault(std::vector<Fault>* faults, std::string at, std::string why) {
  if (faults->size() + 1 < kMostFaults) {
    faults->push_back({std::move(at), std::move(why)});
  } else if (faults->size() < kMostFaults) {
    faults->push_back({"", "and more, which are not named"});
  }
}

std::string OneLine(const std::vector<Fault>& faults) {
  std::string line;
  for (const Fault& fault : faults) {
    if (!line.empty()) line += "; ";
    line += Shown(fault.at, 200) + (fault.at.empty() ? "" : ": ") + fault.why;
    if (line.size() > kMostShownLine) return line.substr(0, kMostShownLine) + "...";
  }
  return line;
}

std::string Step(const std::string& at, std::string_view key) {
  std::string out = at + "/";
  for (char c : key) {
    if (c == '~') {
      out += "~0";
    } else if (c == '/') {
      out += "~1";
    } else {
      out += c;
    }
  }
  return out;
}

std::string Step(const std::string& at, size_t index) { return at + "/" + std::to_string(index); }

std::string Shown(std::string_view text, size_t most) {
  std::string out;
  for (char c : text.substr(0, most)) {
    bool plain = static_cast<unsigned char>(c) >= 0x20 && static_cast<unsigned char>(c) < 0x7f;
    out += plain ? c : '?';
  }
  return text.size() > most ? out + "..." : out;
}

Document ReadDocument(std::string_view text, size_t most_bytes) {
  Document out;
  if (text.size() > most_bytes) {
    AddFault(&out.faults, "", "is longer than " + std::to_string(most_bytes) + " bytes");
    return out;
  }
  std::vector<Fault> overflows;
  std::string patched;
  for (size_t reads = 0;; ++reads) {
    Builder builder;
    bool whole = json::sax_parse(text, &builder);
    // A number that no double holds ends a reading; with a nought in its place the rest is read too, so that
    // one answer names all there is.
    if (!whole && builder.overflow_end >= builder.overflow_size && builder.overflow_size > 0 &&
        builder.overflow_end <= text.size() && reads < kMostRereads && reads * text.size() < kMostReread) {
      AddFault(&overflows, builder.overflow_at, "is a number out of all range");
      if (patched.empty()) patched.assign(text);
      size_t from = builder.overflow_end - builder.overflow_size;
      std::fill_n(patched.begin() + static_cast<ptrdiff_t>(from), builder.overflow_size, ' ');
      patched[from] = '0';
      text = patched;
      continue;
    }
    out.faults = std::move(builder.faults);
    if (!whole && out.faults.empty()) AddFault(&out.faults, "", "no JSON that could be read to its end");
    for (Fault& fault : overflows) AddFault(&out.faults, std::move(fault.at), std::move(fault.why));
    if (whole) out.value = std::move(builder.root);
    if (whole && !out.value.is_object()) {
      out.value = nullptr;
      AddFault(&out.faults, "", "the configuration is not a JSON object");
    }
    return out;
  }
}

}  // namespace lemonchute::config
