#include "celeryline/labels/Selector.h"

#include "celeryline/base/Error.h"

#include <algorithm>

namespace celeryline {

namespace {

constexpr std::size_t maxLabelLength = 128;

bool isLabelCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' || c == '_'
        || c == '-' || c == '/' || c == ':';
}

/// Recursive descent parser for the text form of selectors.
class SelectorParser {
public:
    explicit SelectorParser(const std::string& text)
        : m_text(text)
    {
    }

    Selector parse()
    {
        Selector selector;
        skipBlanks();
        if (isAtEnd()) {
            return selector;
        }
        selector.requirements.push_back(requirement());
        while (!isAtEnd()) {
            expect(',', "\",\" or the end");
            selector.requirements.push_back(requirement());
        }
        return selector;
    }

private:
    SelectorRequirement requirement()
    {
        SelectorRequirement result;
        if (accept('!')) {
            result.op = SelectorOperator::NotExists;
            result.label = word("a label name");
            return result;
        }
        result.label = word("a label name");
        if (isAtEnd() || m_text[m_position] == ',') {
            result.op = SelectorOperator::Exists;
        } else if (accept('=')) {
            result.values = { word("a value") };
        } else if (accept('!')) {
            expect('=', "\"=\"");
            result.op = SelectorOperator::NotIn;
            result.values = { word("a value") };
        } else {
            result.op = setOperator();
            result.values = valueList();
        }
        return result;
    }

    SelectorOperator setOperator()
    {
        auto start = m_position;
        std::string name = isLabelCharacter(m_text[m_position]) ? word("an operator") : "";
        if (name != "in" && name != "notin") {
            m_position = start;
            fail("\"=\", \"!=\", \"in\", \"notin\", \",\" or the end");
        }
        return name == "in" ? SelectorOperator::In : SelectorOperator::NotIn;
    }

    std::vector<std::string> valueList()
    {
        expect('(', "\"(\"");
        std::vector<std::string> values { word("a value") };
        while (!accept(')')) {
            expect(',', "\",\" or \")\"");
            values.push_back(word("a value"));
        }
        std::sort(values.begin(), values.end());
        values.erase(std::unique(values.begin(), values.end()), values.end());
        return values;
    }

    std::string word(const std::string& expected)
    {
        auto start = m_position;
        while (!isAtEnd() && isLabelCharacter(m_text[m_position])) {
            ++m_position;
        }
        auto result = m_text.substr(start, m_position - start);
        if (!isLabelText(result)) {
            m_position = start;
            fail(expected + " of 1 to 128 letters, digits or \"._-/:\"");
        }
        skipBlanks();
        return result;
    }

    bool accept(char c)
    {
        if (isAtEnd() || m_text[m_position] != c) {
            return false;
        }
        ++m_position;
        skipBlanks();
        return true;
    }

    void expect(char c, const std::string& expected)
    {
        if (!accept(c)) {
            fail(expected);
        }
    }

    void skipBlanks()
    {
        while (!isAtEnd() && (m_text[m_position] == ' ' || m_text[m_position] == '\t')) {
            ++m_position;
        }
    }

    bool isAtEnd() const { return m_position == m_text.size(); }

    [[noreturn]] void fail(const std::string& expected) const
    {
        throw Error(ErrorKind::InvalidInput,
            "selector \"" + m_text + "\" is wrong at position " + std::to_string(m_position + 1)
                + ": expected " + expected,
            "write conditions like: service=intake,rack in (r1,r2),tier!=test,!quarantined");
    }

    const std::string& m_text;
    std::size_t m_position = 0;
};

std::string toText(const SelectorRequirement& requirement)
{
    if (requirement.op == SelectorOperator::Exists) {
        return requirement.label;
    }
    if (requirement.op == SelectorOperator::NotExists) {
        return "!" + requirement.label;
    }
    bool isIn = requirement.op == SelectorOperator::In;
    if (requirement.values.size() == 1) {
        return requirement.label + (isIn ? "=" : "!=") + requirement.values.front();
    }
    std::string list;
    for (const auto& value : requirement.values) {
        list += (list.empty() ? "" : ",") + value;
    }
    return requirement.label + (isIn ? " in (" : " notin (") + list + ")";
}

bool matches(const SelectorRequirement& requirement, const LabelSet& labels)
{
    auto found = labels.find(requirement.label);
    bool exists = found != labels.end();
    auto isListed = [&] {
        return std::binary_search(requirement.values.begin(), requirement.values.end(), found->second);
    };
    switch (requirement.op) {
    case SelectorOperator::In:
        return exists && isListed();
    case SelectorOperator::NotIn:
        return !exists || !isListed();
    case SelectorOperator::Exists:
        return exists;
    case SelectorOperator::NotExists:
        return !exists;
    }
    return false;
}

} // namespace

bool isLabelText(const std::string& text)
{
    return !text.empty() && text.size() <= maxLabelLength
        && std::all_of(text.begin(), text.end(), isLabelCharacter);
}

Selector parseSelector(const std::string& text) { return SelectorParser(text).parse(); }

std::string toText(const Selector& selector)
{
    std::string text;
    for (const auto& requirement : selector.requirements) {
        text += (text.empty() ? "" : ",") + toText(requirement);
    }
    return text;
}

bool matches(const Selector& selector, const LabelSet& labels)
{
    const auto& all = selector.requirements;
    return !all.empty() && std::all_of(all.begin(), all.end(), [&](const SelectorRequirement& requirement) {
        return matches(requirement, labels);
    });
}

} // namespace celeryline
