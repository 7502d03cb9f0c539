#include "config/document.h"

#include <algorithm>

namespace lemonchute::config {
namespace {

using nlohmann::json;

constexpr size_t kMaxLineBytes = 2000;
// Bounds the repeated parsing that reports several numbers out of range at once.
constexpr size_t kMaxRereads = 16, kMaxRereadBytes = kMaxDocumentBytes;

// Builds the value and reports what the parser accepts silently: duplicate keys and deep nesting. Has its own
// stack, so that nesting takes none of the thread's.
class DocumentBuilder : public nlohmann::json_sax<json> {
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
    if (level.value->contains(name)) AddFault(&faults, ChildPath(At(), name), "the key occurs twice");
    level.key = std::move(name);
    return true;
  }
  bool parse_error(std::size_t position, const std::string& last, const json::exception& error) override {
    constexpr int kOutOfRange = 406;  // the library's error id for a number beyond the range of double
    if (error.id == kOutOfRange) {
      overflow_end = position;
      overflow_size = last.size();
      overflow_at = Place();
      return false;
    }
    std::string_view text = error.what();
    size_t intro = text.find("] ");
    if (intro != std::string_view::npos) text.remove_prefix(intro + 2);
    AddFault(&faults, Place(), "no JSON: " + Printable(text, 200));
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

  // Path of the open object or list; Place() is that of the next value in it.
  std::string At() const {
    std::string at;
    for (size_t i = 0; i + 1 < stack_.size(); ++i) at = Into(at, stack_[i], true);
    return at;
  }
  std::string Place() const { return stack_.empty() ? "" : Into(At(), stack_.back(), false); }
  // @param added whether the list's current element is in it already (it is while it is open itself).
  static std::string Into(const std::string& at, const Level& level, bool added) {
    if (level.value->is_object()) return ChildPath(at, level.key);
    return ChildPath(at, level.value->size() - (added ? 1 : 0));
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
    if (stack_.size() >= static_cast<size_t>(kMaxDepth)) {
      AddFault(&faults, Place(), "lies deeper than " + std::to_string(kMaxDepth) + " levels");
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
  if (faults->size() + 1 < kMaxFaults) {
    faults->push_back({std::move(at), std::move(why)});
  } else if (faults->size() < kMaxFaults) {
    faults->push_back({"", "and more, which are not named"});
  }
}

std::string FormatFaults(const std::vector<Fault>& faults) {
  std::string line;
  for (const Fault& fault : faults) {
    if (!line.empty()) line += "; ";
    line += Printable(fault.path, 200) + (fault.path.empty() ? "" : ": ") + fault.message;
    if (line.size() > kMaxLineBytes) return line.substr(0, kMaxLineBytes) + "...";
  }
  return line;
}

std::string ChildPath(const std::string& at, std::string_view key) {
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

std::string ChildPath(const std::string& at, size_t index) { return at + "/" + std::to_string(index); }

std::string Printable(std::string_view text, size_t max_bytes) {
  std::string out;
  for (char c : text.substr(0, max_bytes)) {
    bool plain = static_cast<unsigned char>(c) >= 0x20 && static_cast<unsigned char>(c) < 0x7f;
    out += plain ? c : '?';
  }
  return text.size() > max_bytes ? out + "..." : out;
}

Document ReadDocument(std::string_view text, size_t max_bytes) {
  Document out;
  if (text.size() > max_bytes) {
    AddFault(&out.faults, "", "is longer than " + std::to_string(max_bytes) + " bytes");
    return out;
  }
  std::vector<Fault> overflows;
  std::string patched;
  for (size_t reads = 0;; ++reads) {
    DocumentBuilder builder;
    bool whole = json::sax_parse(text, &builder);
    // A number out of range ends the parsing. It is replaced by 0 and the text parsed again, so that one
    // answer reports all faults.
    if (!whole && builder.overflow_end >= builder.overflow_size && builder.overflow_size > 0 &&
        builder.overflow_end <= text.size() && reads < kMaxRereads && reads * text.size() < kMaxRereadBytes) {
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
    for (Fault& fault : overflows) AddFault(&out.faults, std::move(fault.path), std::move(fault.message));
    if (whole) out.value = std::move(builder.root);
    if (whole && !out.value.is_object()) {
      out.value = nullptr;
      AddFault(&out.faults, "", "the configuration is not a JSON object");
    }
    return out;
  }
}

}  // namespace lemonchute::config
