// Errors and results. Each component has its own `enum class` of errors, with a
// table of names and an ErrorCategory made from that table. A component
// converts errors of the layers below into its own and keeps their message as
// the reason.
//
// A component declares its errors like this:
//
//   enum class DiskError { kFull = 1, kTorn };
//   std::error_code make_error_code(DiskError error);   // NOLINT
//   template <> struct std::is_error_code_enum<DiskError> : std::true_type {};
//
// and in its .cc file:
//
//   constexpr NameEntry<DiskError> kNames[] = {{DiskError::kFull, "full"},
//   ...}; std::error_code make_error_code(DiskError error) {
//     static const ErrorCategory<DiskError> category("disk", kNames);
//     return category.Code(error);
//   }
#ifndef BASE_ERROR_H_
#define BASE_ERROR_H_

#include <optional>
#include <ostream>
#include <span>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>
#include <variant>

namespace baobabrun {

// One row of an enum's table of names.
template <class E>
struct NameEntry {
  E value;
  std::string_view name;
};

// Returns the name of `value`, or "unknown".
template <class E>
constexpr std::string_view NameOf(std::span<const NameEntry<E>> table,
                                  E value) {
  for (const auto& it : table) {
    if (it.value == value) {
      return it.name;
    }
  }
  return "unknown";
}

// Returns the value whose name is `name`, or nothing if there is none.
template <class E>
constexpr std::optional<E> FromName(std::span<const NameEntry<E>> table,
                                    std::string_view name) {
  for (const auto& it : table) {
    if (it.name == name) {
      return it.value;
    }
  }
  return std::nullopt;
}

// An std::error_category over an enum with a table of names.
template <class E>
class ErrorCategory : public std::error_category {
 public:
  ErrorCategory(const char* slice, std::span<const NameEntry<E>> names)
      : slice_(slice), names_(names) {}

  const char* name() const noexcept override { return slice_; }
  std::string message(int code) const override {
    return std::string(NameOf<E>(names_, static_cast<E>(code)));
  }
  std::error_code Code(E error) const {
    return {static_cast<int>(error), *this};
  }

 private:
  const char* slice_;
  std::span<const NameEntry<E>> names_;
};

// An error code for programs and a message for people. The message names the
// file or object concerned.
struct Error {
  std::error_code code;
  std::string message;
};

std::ostream& operator<<(std::ostream& out, const Error& error);

// Either a value or an Error. `value()` may be called only if `ok()`.
template <class T>
class [[nodiscard]] Result {
 public:
  Result(T value) : state_(std::move(value)) {}      // NOLINT: implicit
  Result(Error error) : state_(std::move(error)) {}  // NOLINT: implicit

  bool ok() const { return std::holds_alternative<T>(state_); }
  T& value() { return std::get<T>(state_); }
  const T& value() const { return std::get<T>(state_); }
  const Error& error() const { return std::get<Error>(state_); }

 private:
  std::variant<T, Error> state_;
};

// The result of an operation that returns nothing when it succeeds.
using Status = Result<std::monostate>;
inline Status Ok() {
  return std::monostate();
}

}  // namespace baobabrun

#endif  // BASE_ERROR_H_
