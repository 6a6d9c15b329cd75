#include "celeryline/cli/CliOutput.h"

#include "celeryline/base/EditDistance.h"
#include "celeryline/cli/CommandLine.h"

#include <Poco/JSON/Stringifier.h>
#include <Poco/String.h>

#include <algorithm>
#include <map>
#include <ostream>
#include <sstream>

namespace celeryline {

using Poco::Dynamic::Var;
using Poco::JSON::Array;
using Poco::JSON::Object;

namespace {

using Columns = std::vector<std::string>;

const std::map<std::string, Columns>& columnsByCollection()
{
    static const std::map<std::string, Columns> all {
        { "pools", { "name", "service", "selector", "spare", "guarded", "dataCentres", "revision" } },
        { "services", { "name", "selector", "maxUnavailablePercent", "minAvailable", "spare", "revision" } },
        { "instances",
            { "name", "kind", "dataCentre", "rack", "pool", "nextPool", "phase", "drained", "revision" } },
        { "workers",
            { "name", "dataCentre", "rack", "pool", "phase", "announced.capacity.cpuMilli",
                "announced.usage.cpuMilli" } },
        { "jobs", { "id", "team", "kind", "pool", "urgent", "phase", "worker", "reason" } },
        { "waves", { "name", "state", "selector", "pending", "completed", "abandoned" } },
        { "quotas", { "team", "limit.cpuMilli", "limit.memoryMb", "limit.accelerators" } },
        { "permits", { "instance", "wave", "dataCentre", "revision" } },
    };
    return all;
}

std::string formatValue(const Var& value)
{
    if (value.isEmpty()) {
        return "-";
    }
    if (value.isString()) {
        const auto& text = value.extract<std::string>();
        return text.empty() ? "-" : text;
    }
    std::ostringstream out;
    Poco::JSON::Stringifier::stringify(value, out);
    return out.str();
}

std::string formatList(const Array::Ptr& list)
{
    // Only the length of longer lists, such as the instances of a wave, is shown.
    constexpr std::size_t maxListedItems = 4;
    if (list->size() == 0 || list->size() > maxListedItems) {
        return std::to_string(list->size());
    }
    std::string text;
    for (const auto& item : *list) {
        text += (text.empty() ? "" : ",") + formatValue(item);
    }
    return text;
}

} // namespace

void printTable(std::ostream& out, const Columns& header, const std::vector<Columns>& rows)
{
    std::vector<std::size_t> widths;
    for (std::size_t i = 0; i < header.size(); ++i) {
        widths.push_back(header[i].size());
        for (const auto& row : rows) {
            widths[i] = std::max(widths[i], row.at(i).size());
        }
    }
    auto printRow = [&](const Columns& row) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i) {
            line += row[i] + std::string(widths[i] - row[i].size() + 2, ' ');
        }
        out << Poco::trimRight(line) << '\n';
    };
    printRow(header);
    std::for_each(rows.begin(), rows.end(), printRow);
}

std::string formatField(const Object::Ptr& object, const std::string& key)
{
    auto dot = key.find('.');
    if (dot != std::string::npos) {
        auto child = object->getObject(key.substr(0, dot));
        return child.isNull() ? "-" : formatField(child, key.substr(dot + 1));
    }
    if (auto list = object->getArray(key)) {
        return formatList(list);
    }
    return formatValue(object->get(key));
}

void printCollection(std::ostream& out, const std::string& collection, const Array::Ptr& items)
{
    const auto& columns = columnsByCollection().at(collection);
    Columns header;
    for (const auto& column : columns) {
        header.push_back(Poco::toUpper(column.substr(column.rfind('.') + 1)));
    }
    std::vector<Columns> rows;
    for (std::size_t i = 0; i < items->size(); ++i) {
        Columns row;
        for (const auto& column : columns) {
            row.push_back(formatField(items->getObject(static_cast<unsigned>(i)), column));
        }
        rows.push_back(row);
    }
    printTable(out, header, rows);
}

void printDifference(std::ostream& out, const Array::Ptr& difference)
{
    if (difference.isNull() || difference->size() == 0) {
        out << "no difference\n";
        return;
    }
    for (std::size_t i = 0; i < difference->size(); ++i) {
        auto change = difference->getObject(static_cast<unsigned>(i));
        auto kind = change->getValue<std::string>("change");
        std::string sign = kind == "created" ? "+ " : kind == "deleted" ? "- " : "~ ";
        out << sign << change->getValue<std::string>("kind") << " " << change->getValue<std::string>("name")
            << '\n';
        auto fields = change->getArray("fields");
        for (std::size_t k = 0; kind == "changed" && k < fields->size(); ++k) {
            auto field = fields->getObject(static_cast<unsigned>(k));
            out << "    " << formatField(field, "field") << ": " << formatField(field, "from") << " -> "
                << formatField(field, "to") << '\n';
        }
    }
}

void printFields(std::ostream& out, const Object::Ptr& object, const std::string& indent)
{
    for (const auto& [name, value] : *object) {
        auto child = object->getObject(name);
        if (!child.isNull()) {
            out << indent << name << ":\n";
            printFields(out, child, indent + "  ");
        } else {
            out << indent << name << ": " << formatValue(value) << '\n';
        }
    }
}

void printJson(std::ostream& out, const Object::Ptr& object)
{
    object->stringify(out);
    out << '\n';
}

std::string resolveCollection(const std::string& key)
{
    auto name = Poco::toLower(key);
    std::vector<std::string> names;
    for (const auto& [collection, columns] : columnsByCollection()) {
        if (name == collection || name + "s" == collection) {
            return collection;
        }
        names.push_back(collection);
    }
    throw UsageError("unknown kind \"" + key + "\"", "did you mean \"" + closestMatch(name, names) + "\"?");
}

} // namespace celeryline
