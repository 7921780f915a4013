// UTF-8 validation, for text that is passed on to readers that refuse anything
// else.
#ifndef BASE_UTF8_H_
#define BASE_UTF8_H_

#include <string_view>

namespace baobabrun {

// Whether `text` is valid UTF-8: no overlong forms, surrogates or code points
// above U+10FFFF.
bool IsUtf8(std::string_view text);

}  // namespace baobabrun

#endif  // BASE_UTF8_H_
