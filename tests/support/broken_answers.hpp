#pragma once

#include <string>
#include <vector>

namespace test_support {

/// Answers with a success whose heads have a field name with a blank, a control character or another byte that is not allowed there (RFC
/// 9110, section 5.6.2). Each ends as the head says if that name is left out.
/// @param fields further lines for each head
inline std::vector<std::string> answersWithInvalidNames(const std::string &fields = {})
{
    using namespace std::string_literals;
    const std::string head = "HTTP/1.1 200 OK\r\n" + fields;
    const std::string sized = "Content-Length: 5\r\n";
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    const std::string chunks = "5\r\nwhole\r\n0\r\n\r\n";
    std::vector<std::string> answers;
    for (const std::string &name :
         {"X Odd"s, "X-Odd "s, "X-Odd\t"s, " X-Odd"s, "X\x01Odd"s, "X\0Odd"s, "X\x7fOdd"s, "X\rOdd"s, "X\x80Odd"s, "X(Odd"s, ""s}) {
        const std::string line = name + ": 1\r\n";
        answers.push_back(head + sized + line + "\r\nwhole");
        answers.push_back(head + line + sized + "\r\nwhole");
        answers.push_back(head + line + chunked + "\r\n" + chunks);
        answers.push_back(head + line + "\r\nwhole");
    }
    answers.push_back(head + "X-Odd\r\n" + sized + "\r\nwhole");
    for (const std::string name : {"Content-Length ", "Content Length", " Content-Length", "Content-Length\t", "Content-Length\x01"}) {
        answers.push_back(head + name + ": 5\r\n\r\nwhole");
        answers.push_back(head + name + ": 3\r\n" + sized + "\r\nwhole");
        answers.push_back(head + sized + name + ": 3\r\n\r\nwhole");
    }
    for (const std::string name : {"Transfer-Encoding ", "Transfer Encoding", "\tTransfer-Encoding", "Transfer-Encoding\x01"}) {
        answers.push_back(head + name + ": chunked\r\n\r\n" + chunks);
        answers.push_back(head + name + ": chunked\r\n" + sized + "\r\n" + chunks);
    }
    return answers;
}

/// Answers with a success whose length or chunks are invalid (RFC 9112, sections 6 and 7), or whose status is only interim.
inline std::vector<std::string> answersWithInvalidBodies()
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string sized = "Content-Length: 5\r\n";
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    std::vector<std::string> answers;
    for (const std::string length : {"5x", "x5", "+5", "-5", "0x5", "", "5, 6", "5 5", "99999999999999999999"}) {
        answers.push_back(head + "Content-Length: " + length + "\r\n\r\nwhole");
    }
    answers.push_back(head + sized + "Content-Length: 3\r\n\r\nwhole");
    answers.push_back(head + sized + chunked + "\r\n5\r\nwhole\r\n0\r\n\r\n");
    for (const std::string body : {"5\r\nwholeX\r\n0\r\n\r\n", "5\r\nwhole0\r\n\r\n", "4\r\nwhole\r\n0\r\n\r\n", "zz\r\n\r\n",
                                   "5\r\nwhole\r\nzz\r\n\r\n", "\r\n\r\n", "-5\r\nwhole\r\n0\r\n\r\n", "0x5\r\nwhole\r\n0\r\n\r\n",
                                   "5 5\r\nwhole\r\n0\r\n\r\n", "5\r\nwhole\r\n0 0\r\n\r\n", "5\r\nwhole\r\n0\r\nX Odd: 1\r\n\r\n"}) {
        answers.push_back(head + chunked + "\r\n" + body);
    }
    for (const std::string status : {"100 Continue", "102 Processing", "103 Early Hints"}) {
        answers.push_back("HTTP/1.1 " + status + "\r\n" + sized + "\r\n");
    }
    return answers;
}

/// Complete answers with the body "whole" whose heads are unusual but valid.
/// @param fields further lines for each head
inline std::vector<std::string> answersWithUnusualHeads(const std::string &fields = {})
{
    const std::string head = "HTTP/1.1 200 OK\r\n" + fields;
    const std::string end = "Content-Length: 5\r\n\r\nwhole";
    std::string manyFields;
    for (int i = 0; i < 40; ++i) {
        manyFields += "X-Field-" + std::to_string(i) + ": " + std::string(1000, 'v') + "\r\n";
    }
    return {
        head + manyFields + end,
        head + "!#$%&'*+-.^_`|~09aZ: 1\r\n" + end,
        head + "X-Empty:\r\nX-Blank: \t \r\n" + end,
        head + "X-Tight:1\r\nX-Wide: \t 1\t \r\nX-Tab: a\tb\r\n" + end,
        head + "X-Text: \xe9\xff\r\n" + end,
        head + "X-Colons: a:b: c\r\nX-Twice: 1\r\nX-Twice: 2\r\n" + end,
        head + "content-LENGTH:5\r\n\r\nwhole",
        head + "transfer-encoding: Chunked\r\n\r\n0005;name=\"a b\"\r\nwhole\r\n0\r\nX-Sum: 7\r\n\r\n",
        "HTTP/1.1 200 \r\n" + fields + end,
        "HTTP/1.0 200 Not usual\r\n" + fields + end,
        "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + head + end,
    };
}

} // namespace test_support
