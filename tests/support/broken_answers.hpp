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

} // namespace test_support
