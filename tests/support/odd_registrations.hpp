#pragma once

#include <array>
#include <random>
#include <string>

namespace test_support {

/// A JSON value nested to a depth, as arrays or objects.
inline std::string nestedValue(std::size_t depth, bool isObject)
{
    std::string text;
    for (std::size_t i = 0; i < depth; ++i) {
        text += isObject ? "{\"a\":" : "[";
    }
    text += "1";
    return text.append(depth, isObject ? '}' : ']');
}

/// Generates registrations of the platform's store as another writer may leave them: one or more fields with a value of another type or
/// size, a missing or repeated field, or a damaged text.
class odd_registration_generator
{
public:
    explicit odd_registration_generator(std::uint64_t seed)
        : m_random(seed)
    {
    }

    std::string next()
    {
        std::array<std::string, 8> values{"\"10.128.0.9:8080\"", "\"s\"", "\"v1\"", "\"a\"", "4", "\"ready\"", "4", "1500"};
        const std::size_t changes = 1 + pick(2);
        for (std::size_t i = 0; i < changes; ++i) {
            values[pick(values.size())] = oddValue();
        }
        std::string text = "{\"address\":" + values[0] + ",\"information\":{\"service\":" + values[1] + ",\"version\":" + values[2]
            + ",\"zone\":" + values[3] + ",\"slots\":" + values[4] + "},\"status\":{\"state\":" + values[5]
            + ",\"sequence_number\":" + values[6] + ",\"cold_remaining_ms\":" + values[7]
            + "},\"born\":" + (pick(3) == 0 ? oddValue() : std::string("1700000000123")) + "}";
        switch (pick(6)) {
        case 0:
            text.resize(pick(text.size() + 1)); // Cut off.
            break;
        case 1:
            text[pick(text.size())] = static_cast<char>(pick(256)); // Invalid UTF-8 among others.
            break;
        case 2:
            text.insert(1, "\"address\":" + oddValue() + ","); // Repeated field.
            break;
        default:
            break;
        }
        return text;
    }

private:
    std::size_t pick(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
    }

    std::string oddValue()
    {
        constexpr std::size_t deep = 100000;
        switch (pick(20)) {
        case 0:
            return nestedValue(deep, false);
        case 1:
            return nestedValue(deep, true);
        case 2:
            return "1e999";
        case 3:
            return "-1e308";
        case 4:
            return "9223372036854775808";
        case 5:
            return "18446744073709551616";
        case 6:
            return "4294967300";
        case 7:
            return "-1";
        case 8:
            return "0.5";
        case 9:
            return "\"10.128.0.9:0\"";
        case 10:
            return "\"10.128.0.9:65536\"";
        case 11:
            return "\"10.128.0.9:99999999999999999999\"";
        case 12:
            return "\"10.128.0.9:http\"";
        case 13:
            return "\"\"";
        case 14:
            return "null";
        case 15:
            return "true";
        case 16:
            return "\"" + std::string(1U << 20U, 'x') + "\"";
        case 17:
            return "\"\xff\xfe\xc3\"";
        case 18:
            return "{}";
        default:
            return "[]";
        }
    }

    std::mt19937_64 m_random;
};

} // namespace test_support
