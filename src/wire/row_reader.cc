#include "wire/row_reader.h"

#include <exception>

namespace pitchfall::wire {
namespace {

// The bits of a header byte that hold the number of items.
constexpr uint8_t kCountBits = 0x0f;
constexpr unsigned kBitsPerByte = 8;

// Lets texts refer to the message instead of copying them.
bool ReferToMessage(msgpack::type::object_type, size_t, void*) { return true; }

}  // namespace

void RowReader::Read(std::string_view rows_key, const RowHandler& on_row,
                     const FieldHandler& on_field) {
  constexpr Header kMap{0x80, 0xde, 0xdf};
  uint32_t fields = ReadCount(kMap);
  bool found = false;
  for (uint32_t i = 0; i < fields; ++i) {
    const msgpack::object& key_object = ReadValue();
    if (key_object.type != msgpack::type::STR)
      Fields::Fail("key", "is no text");
    // Refers to the message, not to the value.
    std::string_view key(key_object.via.str.ptr, key_object.via.str.size);
    if (key == rows_key) {
      found = true;
      ReadRows(on_row);
    } else {
      on_field(key, ReadValue());
    }
  }
  if (!found) Fields::Fail(rows_key, "is missing");
  if (at_ != body_.size()) throw Malformed("data after the end of the message");
}

void RowReader::ReadRows(const RowHandler& on_row) {
  constexpr Header kList{0x90, 0xdc, 0xdd};
  uint32_t rows = ReadCount(kList);
  for (uint32_t i = 0; i < rows; ++i) on_row(Fields(ReadValue()));
}

uint8_t RowReader::ReadByte() {
  if (at_ >= body_.size()) throw Malformed("the message ends too early");
  return static_cast<uint8_t>(body_[at_++]);
}

uint32_t RowReader::ReadBigEndian(size_t bytes) {
  uint32_t number = 0;
  for (size_t i = 0; i < bytes; ++i) {
    number = (number << kBitsPerByte) | ReadByte();
  }
  return number;
}

uint32_t RowReader::ReadCount(const Header& header) {
  uint8_t first = ReadByte();
  uint32_t count = 0;
  if ((first & ~kCountBits) == header.few) {
    count = first & kCountBits;
  } else if (first == header.number16) {
    count = ReadBigEndian(sizeof(uint16_t));
  } else if (first == header.number32) {
    count = ReadBigEndian(sizeof(uint32_t));
  } else {
    throw Malformed("a list or map has another type");
  }
  if (count > limits_.max_items) throw Malformed("too many items");
  return count;
}

const msgpack::object& RowReader::ReadValue() {
  zone_.clear();
  try {
    value_ = msgpack::unpack(
        zone_, body_.data(), body_.size(), at_, ReferToMessage, nullptr,
        msgpack::unpack_limit(limits_.max_items, limits_.max_items,
                              body_.size(), 0, 0, limits_.max_depth));
  } catch (const std::exception&) {
    throw Malformed(
        "not valid MessagePack, or too many or too deeply nested items");
  }
  return value_;
}

}  // namespace pitchfall::wire
