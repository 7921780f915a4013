// Forms of answers for tests of everything that reads answers: those that
// RFC 9112 doesn't allow, and sound ones that are rarely seen.
#ifndef ENDPOINTS_ANSWER_FORMS_TEST_H_
#define ENDPOINTS_ANSWER_FORMS_TEST_H_

#include <fmt/core.h>

#include <string>
#include <string_view>
#include <vector>

namespace baobabrun {

// An answer without the header fields that a reader of answers needs to
// attribute it; the test adds these.
struct AnswerForm {
  std::string before;  // interim responses
  std::string status_line;
  std::string fields;  // lines
  // With its framing, if any, as sent; `payload` is what it stands for.
  std::string body;
  std::string payload;
  bool ends_with_connection = false;

  std::string TextWith(std::string_view own_fields) const {
    return before + status_line + "\r\n" + std::string(own_fields) + fields +
           "\r\n" + body;
  }
};

// Payload of the forms. It is also a whole event, since a stream that ends
// inside an event counts as broken for that reason alone.
inline const std::string kFormPayload = "id: 1\ndata: payload\n\n";
inline constexpr std::string_view kFormStatusLine = "HTTP/1.1 200 OK";

inline std::string LengthField(std::size_t n) {
  return "Content-Length: " + std::to_string(n) + "\r\n";
}
inline std::string HexSize(std::size_t n) {
  return fmt::format("{:x}", n);
}
// A chunk that holds `data`.
inline std::string Chunk(std::string_view data) {
  return fmt::format("{:x}\r\n{}\r\n", data.size(), data);
}

inline std::vector<AnswerForm> InvalidStatusLines() {
  const std::string_view lines[] = {
      // Codes that are no status (RFC 9110, section 15).
      "HTTP/1.1 000 OK",
      "HTTP/1.1 000",
      "HTTP/1.1 001 OK",
      "HTTP/1.1 099 OK",
      "HTTP/1.1 600 OK",
      "HTTP/1.1 999 OK",
      // Not three digits.
      "HTTP/1.1 20 OK",
      "HTTP/1.1 1000 OK",
      "HTTP/1.1 2000 OK",
      "HTTP/1.1 -200 OK",
      "HTTP/1.1 +200 OK",
      "HTTP/1.1 200x OK",
      "HTTP/1.1 200x",
      "HTTP/1.1 200-OK",
      "HTTP/1.1 200.1 OK",
      "HTTP/1.1 2 0 OK",
      "HTTP/1.1 0x200 OK",
      "HTTP/1.1 abc OK",
      "HTTP/1.1  200 OK",
      "HTTP/1.1\t200 OK",
      "HTTP/1.1 200\tOK",
      "HTTP/1.1 ",
      "HTTP/1.1",
      // Versions that aren't spoken on this connection, or are none.
      "HTTP/2 200 OK",
      "HTTP/2.0 200 OK",
      "HTTP/3 200 OK",
      "HTTP/1 200 OK",
      "HTTP/0.9 200 OK",
      "HTTP/9.9 200 OK",
      "HTTP/1.11 200 OK",
      "HTTP/11.1 200 OK",
      "HTTP/1,1 200 OK",
      "HTTP/1.x 200 OK",
      "HTTP/ 200 OK",
      "http/1.1 200 OK",
      " HTTP/1.1 200 OK",
      "XHTTP/1.1 200 OK",
      "ICY 200 OK",
      // Bytes that a reason can't have.
      "HTTP/1.1 200 O\x01K",
      "HTTP/1.1 200 O\x1bK",
      "HTTP/1.1 200 O\x7fK",
      "HTTP/1.1 200 O\rK",
      "HTTP/1.1 200 OK\r",
      std::string_view("HTTP/1.1 200 O\0K", 16),
      // No other protocol was asked for.
      "HTTP/1.1 101 Switching Protocols",
  };
  std::vector<AnswerForm> forms;
  for (const auto it : lines) {
    forms.push_back({"", std::string(it), LengthField(kFormPayload.size()),
                     kFormPayload, kFormPayload});
  }
  // With a longer body, one that ends with its connection, and one whose
  // trailers are a head.
  const std::string longer(2'500'000, 'x');
  const std::string status = "HTTP/1.1 000 OK";
  forms.push_back({"", status, LengthField(longer.size()), longer, longer});
  forms.push_back({"", status, "", kFormPayload, kFormPayload, true});
  forms.push_back({"", status, "", longer, longer, true});
  forms.push_back({"", status, "Transfer-Encoding: chunked\r\n",
                   "1\r\na\r\n0\r\nHTTP/1.1 200 OK\r\n\r\n", "a"});
  forms.push_back({"HTTP/1.1 100 Continue\r\n\r\n", status,
                   LengthField(kFormPayload.size()), kFormPayload,
                   kFormPayload});
  return forms;
}

inline std::vector<AnswerForm> InvalidFields() {
  std::vector<std::string> lines = {
      "X A: b",
      " X: b",
      "X : b",
      "\tX: b",
      "X\t: b",
      ": b",
      "X-A",
      "X\x01: b",
      "X\x7f: b",
      "X\xe4: b",
      "X\rA: b",
      "X: b\r\n c",
      "X: b\r\n\tc",
      "X: b\x01",
      "X: b\x7f",
      "X: b\rc",
      "X: b\r",
      "X:\rb",
      "X:\r",
      "\rX: b",
      "Content-Length : 3",
      "Transfer-Encoding : chunked",
      "HTTP/1.1 200 OK",
  };
  lines.emplace_back("X\0A: b", 6);
  lines.emplace_back("X: \0b", 5);
  for (const char it : std::string("\"(),/;<=>?@[\\]{}")) {
    lines.push_back(std::string("X") + it + ": b");
  }
  std::vector<AnswerForm> forms;
  const auto length = LengthField(kFormPayload.size());
  for (const auto& it : lines) {
    for (const bool first : {true, false}) {
      forms.push_back({"", std::string(kFormStatusLine),
                       first ? fmt::format("{}\r\n{}", it, length)
                             : fmt::format("{}{}\r\n", length, it),
                       kFormPayload, kFormPayload});
    }
    forms.push_back({fmt::format("HTTP/1.1 103 Early Hints\r\n{}\r\n\r\n", it),
                     std::string(kFormStatusLine), length, kFormPayload,
                     kFormPayload});
  }
  return forms;
}

inline AnswerForm ChunkedForm(std::string body) {
  return {"", std::string(kFormStatusLine), "Transfer-Encoding: chunked\r\n",
          std::move(body), kFormPayload};
}

// Trailers that are no header fields.
inline std::vector<AnswerForm> InvalidTrailers() {
  const std::string_view lines[] = {
      "X A: b",   "X : b",    ": b",        "X-A",
      "X\x01: b", "X: b\x01", "X: b\r\n c", "HTTP/1.1 200 OK",
  };
  std::vector<AnswerForm> forms;
  for (const auto it : lines) {
    forms.push_back(
        ChunkedForm(fmt::format("{}0\r\n{}\r\n\r\n", Chunk(kFormPayload), it)));
  }
  return forms;
}

// Chunks that RFC 9112, section 7.1, doesn't allow.
inline std::vector<AnswerForm> InvalidChunks() {
  const auto size = HexSize(kFormPayload.size());
  const std::string sizes[] = {
      "0x" + size,   size + "x",          size + " x",         " " + size,
      "+" + size,    "-" + size,          size + ",",          size + ".0",
      size + "\x01", size + ";a\x01",     size + "\r",         "",
      "x",           "1ffffffffffffffff", "10000000000000000",
  };
  std::vector<AnswerForm> forms;
  for (const auto& it : sizes) {
    forms.push_back(
        ChunkedForm(fmt::format("{}\r\n{}\r\n0\r\n\r\n", it, kFormPayload)));
  }
  for (const std::string_view end : {"x\r\n", "\r\r\n", ""}) {
    forms.push_back(ChunkedForm(
        fmt::format("{}\r\n{}{}0\r\n\r\n", size, kFormPayload, end)));
  }
  for (const std::string_view last : {"00x", "0x0", "0 x", "-0"}) {
    forms.push_back(
        ChunkedForm(fmt::format("{}{}\r\n\r\n", Chunk(kFormPayload), last)));
  }
  return forms;
}

// HTTP/1.0 has no transfer coding (RFC 9112, section 6.1).
inline AnswerForm ChunksOfOldVersion() {
  auto form = ChunkedForm(Chunk(kFormPayload) + "0\r\n\r\n");
  form.status_line = "HTTP/1.0 200 OK";
  return form;
}

// All of the above.
inline std::vector<AnswerForm> InvalidAnswers() {
  std::vector<AnswerForm> all = {ChunksOfOldVersion()};
  for (const auto& forms : {InvalidStatusLines(), InvalidFields(),
                            InvalidTrailers(), InvalidChunks()}) {
    all.insert(all.end(), forms.begin(), forms.end());
  }
  return all;
}

inline std::vector<AnswerForm> SoundChunks() {
  const auto size = HexSize(kFormPayload.size());
  const std::string bodies[] = {
      Chunk(kFormPayload) + "0\r\n\r\n",
      fmt::format("000{}\r\n{}\r\n000\r\n\r\n", size, kFormPayload),
      fmt::format("{};a=b;c=\"d e\"\r\n{}\r\n0;x\r\n\r\n", size, kFormPayload),
      fmt::format("{} ;a = b\r\n{}\r\n0\r\nX-A: b\r\nY:\r\n\r\n", size,
                  kFormPayload),
      Chunk(kFormPayload.substr(0, 1)) + Chunk(kFormPayload.substr(1)) +
          "0\r\n\r\n",
  };
  std::vector<AnswerForm> forms;
  for (const auto& it : bodies) {
    forms.push_back(ChunkedForm(it));
  }
  forms.back().fields = "Transfer-Encoding: Chunked\r\n";
  return forms;
}

inline std::vector<AnswerForm> SoundAnswers() {
  const auto length = LengthField(kFormPayload.size());
  std::vector<AnswerForm> forms;
  for (const std::string line :
       {"HTTP/1.1 200 OK", "HTTP/1.1 200 ", "HTTP/1.1 200", "HTTP/1.0 200 OK",
        "HTTP/1.1 201 Created", "HTTP/1.1 299 Some other reason",
        "HTTP/1.1 200 \xc3\xa4\xff", "HTTP/1.1 200 a\tb", "HTTP/1.1 200  "}) {
    forms.push_back({"", line, length, kFormPayload, kFormPayload});
    forms.push_back({"", line, "", kFormPayload, kFormPayload, true});
  }
  const std::string line(kFormStatusLine);
  for (const std::string before :
       {"HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
        "HTTP/1.1 102 \r\n\r\nHTTP/1.1 199\r\nX: y\r\n\r\n"}) {
    forms.push_back({before, line, length, kFormPayload, kFormPayload});
    forms.push_back({before, line, "", kFormPayload, kFormPayload, true});
  }
  for (const std::string field :
       {"X:\r\n", "X: \xc3\xa4\xff\r\n", "X:a\r\n", "X: a \t\r\n",
        "!#$%&'*+-.^_`|~09azAZ: b\r\n"}) {
    forms.push_back({"", line, field + length, kFormPayload, kFormPayload});
  }
  const auto chunked = SoundChunks();
  forms.insert(forms.end(), chunked.begin(), chunked.end());
  return forms;
}

}  // namespace baobabrun

#endif  // ENDPOINTS_ANSWER_FORMS_TEST_H_
