#include "config/document.h"

#include <algorithm>

namespace lemonchute::config {
namespace {

using nlohmann::json;

constexpr size_t kMaxLineBytes = 2000;
// Bound the repeated parsing that reports several out-of-range numbers at once.
constexpr size_t kMaxReparses = 16, kMaxReparsedBytes = kMaxDocumentBytes;

// Builds the value and reports what the parser accepts silently: duplicate keys and deep nesting. Keeps an
// explicit stack, so that nesting does not use the thread's stack.
class DocumentBuilder : public nlohmann::json_sax<json> {
 public:
  bool null() override { return AddScalar(nullptr); }
  bool boolean(bool value) override { return AddScalar(value); }
  bool number_integer(number_integer_t value) override { return AddScalar(value); }
  bool number_unsigned(number_unsigned_t value) override { return AddScalar(value); }
  bool number_float(number_float_t value, const string_t&) override { return AddScalar(value); }
  bool string(string_t& value) override { return AddScalar(std::move(value)); }
  bool binary(binary_t&) override { return false; }
  bool start_object(std::size_t) override { return OpenContainer(json::object()); }
  bool start_array(std::size_t) override { return OpenContainer(json::array()); }
  bool end_object() override { return CloseContainer(); }
  bool end_array() override { return CloseContainer(); }
  bool key(string_t& name) override {
    Level& level = stack_.back();
    if (level.value->contains(name))
      AddFault(&faults, ChildPath(ContainerPath(), name), "the key occurs twice");
    level.key = std::move(name);
    return true;
  }
  bool parse_error(std::size_t position, const std::string& last, const json::exception& error) override {
    constexpr int kOutOfRange = 406;  // the library's error id for a number beyond the range of double
    if (error.id == kOutOfRange) {
      overflow_end = position;
      overflow_size = last.size();
      overflow_path = NextValuePath();
      return false;
    }
    std::string_view text = error.what();
    size_t prefix_end = text.find("] ");
    if (prefix_end != std::string_view::npos) text.remove_prefix(prefix_end + 2);
    AddFault(&faults, NextValuePath(), "no JSON: " + Printable(text, 200));
    return false;
  }

  json root;
  std::vector<Fault> faults;
  std::size_t overflow_end = 0, overflow_size = 0;
  std::string overflow_path;

 private:
  struct Level {
    json* value;
    std::string key;
  };

  // Path of the innermost open object or list; NextValuePath() is that of the next value in it.
  std::string ContainerPath() const {
    std::string path;
    for (size_t i = 0; i + 1 < stack_.size(); ++i) path = ElementPath(path, stack_[i], true);
    return path;
  }
  std::string NextValuePath() const {
    return stack_.empty() ? "" : ElementPath(ContainerPath(), stack_.back(), false);
  }
  // @param added whether the list contains its current element already, as it does while that element is
  // open.
  static std::string ElementPath(const std::string& path, const Level& level, bool added) {
    if (level.value->is_object()) return ChildPath(path, level.key);
    return ChildPath(path, level.value->size() - (added ? 1 : 0));
  }

  json* Add(json value) {
    if (stack_.empty()) return &(root = std::move(value));
    Level& level = stack_.back();
    if (level.value->is_object()) return &((*level.value)[level.key] = std::move(value));
    level.value->push_back(std::move(value));
    return &level.value->back();
  }
  bool AddScalar(json value) {
    Add(std::move(value));
    return true;
  }
  bool OpenContainer(json value) {
    if (stack_.size() >= static_cast<size_t>(kMaxDepth)) {
      AddFault(&faults, NextValuePath(), "lies deeper than " + std::to_string(kMaxDepth) + " levels");
      return false;
    }
    json* added = Add(std::move(value));
    stack_.push_back({added, ""});
    return true;
  }
  bool CloseContainer() {
    stack_.pop_back();
    return true;
  }

  std::vector<Level> stack_;
};

}  // namespace

void AddFault(std::vector<Fault>* faults, std::string path, std::string message) {
  if (faults->size() + 1 < kMaxFaults) {
    faults->push_back({std::move(path), std::move(message)});
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

std::string ChildPath(const std::string& path, std::string_view key) {
  std::string out = path + "/";
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

std::string ChildPath(const std::string& path, size_t index) { return path + "/" + std::to_string(index); }

std::string Printable(std::string_view text, size_t max_bytes) {
  std::string out;
  for (char c : text.substr(0, max_bytes)) {
    bool is_printable = static_cast<unsigned char>(c) >= 0x20 && static_cast<unsigned char>(c) < 0x7f;
    out += is_printable ? c : '?';
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
  for (size_t reparses = 0;; ++reparses) {
    DocumentBuilder builder;
    bool complete = json::sax_parse(text, &builder);
    // A number out of range aborts the parsing. It is replaced by 0 and the text parsed again, so that one
    // response reports all faults.
    if (!complete && builder.overflow_end >= builder.overflow_size && builder.overflow_size > 0 &&
        builder.overflow_end <= text.size() && reparses < kMaxReparses &&
        reparses * text.size() < kMaxReparsedBytes) {
      AddFault(&overflows, builder.overflow_path, "is a number out of all range");
      if (patched.empty()) patched.assign(text);
      size_t number_begin = builder.overflow_end - builder.overflow_size;
      std::fill_n(patched.begin() + static_cast<ptrdiff_t>(number_begin), builder.overflow_size, ' ');
      patched[number_begin] = '0';
      text = patched;
      continue;
    }
    out.faults = std::move(builder.faults);
    if (!complete && out.faults.empty()) AddFault(&out.faults, "", "no JSON that could be read to its end");
    for (Fault& fault : overflows) AddFault(&out.faults, std::move(fault.path), std::move(fault.message));
    if (complete) out.value = std::move(builder.root);
    if (complete && !out.value.is_object()) {
      out.value = nullptr;
      AddFault(&out.faults, "", "the configuration is not a JSON object");
    }
    return out;
  }
}

}  // namespace lemonchute::config
