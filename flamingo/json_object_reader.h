#ifndef FLAMINGO_JSON_OBJECT_READER_H
#define FLAMINGO_JSON_OBJECT_READER_H

// Reads the fields of one JSON object from outside, without exceptions.
//
// A field is optional unless require() names it, and a missing one leaves its target unchanged. The
// first field that is missing, has another type or is out of its range makes the reader invalid and
// gives the reason; later calls then have no effect. Targets that were read before are changed, so
// the result is to be used only if valid() is true at the end.

#include "flamingo/json_parse.h"

#include <initializer_list>
#include <string>
#include <vector>

namespace flamingo {

class JsonObjectReader
{
public:
    // `json` and `reason` must outlive the reader. Invalid if `json` is no object.
    JsonObjectReader(const nlohmann::json &json, Reason &reason)
        : json(json)
        , reason(reason)
    {
        if (!json.is_object())
            this->refuse("not an object");
    }

    bool valid() const
    {
        return this->isValid;
    }

    // Makes the reader invalid, with this reason unless there is one already.
    void refuse(const std::string &text)
    {
        if (this->isValid)
            this->reason = {ReasonCode::InvalidInput, text};
        this->isValid = false;
    }

    void require(std::initializer_list<const char *> names)
    {
        for (const char *name : names) {
            if (this->isValid && !this->json.contains(name))
                this->refuseField(name, "is missing");
        }
    }

    // A whole number, written with or without a fraction of 0. The range must fit into
    // std::int64_t.
    template <typename Integer>
    void integer(const char *name, std::int64_t min, std::int64_t max, Integer &target)
    {
        const nlohmann::json *field = this->find(name);
        if (field == nullptr)
            return;
        const auto number = wholeNumber(*field, min, max);
        if (number)
            target = static_cast<Integer>(*number);
        else
            this->refuseField(name,
                              "is not a whole number from " + std::to_string(min) + " to "
                                  + std::to_string(max));
    }

    // A number in milliseconds from 0 to `max`; its fraction is dropped.
    template <typename Integer>
    void milliseconds(const char *name, std::int64_t max, Integer &target)
    {
        double value = 0;
        const nlohmann::json *field = this->find(name);
        this->real(name, 0, double(max), value);
        if (field != nullptr && this->isValid)
            target = static_cast<Integer>(value);
    }

    void real(const char *name, double min, double max, double &target)
    {
        const nlohmann::json *field = this->find(name);
        if (field == nullptr)
            return;
        const double value = field->is_number() ? field->get<double>() : max + 1;
        if (field->is_number() && value >= min && value <= max)
            target = value;
        else
            this->refuseField(
                name, "is not a number from " + std::to_string(min) + " to " + std::to_string(max));
    }

    void flag(const char *name, bool &target)
    {
        const nlohmann::json *field = this->find(name);
        if (field != nullptr && field->is_boolean())
            target = field->get<bool>();
        else if (field != nullptr)
            this->refuseField(name, "is not true or false");
    }

    void text(const char *name, std::string &target)
    {
        const nlohmann::json *field = this->find(name);
        if (field != nullptr && field->is_string())
            target = field->get_ref<const std::string &>();
        else if (field != nullptr)
            this->refuseField(name, "is not a string");
    }

    void texts(const char *name, std::vector<std::string> &target)
    {
        this->list(name, target,
                   [](const nlohmann::json &element, std::string &value, Reason &refusal) {
                       if (element.is_string())
                           value = element.get_ref<const std::string &>();
                       else
                           refusal = {ReasonCode::InvalidInput, "an element is not a string"};
                       return element.is_string();
                   });
    }

    // A list whose elements are read by `decode(json, element, reason)`, which returns false with a
    // reason for an element that is not valid.
    template <typename Element, typename Decode>
    void list(const char *name, std::vector<Element> &target, Decode decode)
    {
        const nlohmann::json *field = this->find(name);
        if (field == nullptr)
            return;
        if (!field->is_array()) {
            this->refuseField(name, "is not a list");
            return;
        }
        target.clear();
        target.reserve(field->size());
        for (const nlohmann::json &element : *field) {
            Reason refusal;
            if (!decode(element, target.emplace_back(), refusal)) {
                this->refuseField(name, "is not valid: " + refusal.text);
                return;
            }
        }
    }

    // A value that is read by `decode(json, target, reason)`, as in list().
    template <typename Value, typename Decode>
    void value(const char *name, Value &target, Decode decode)
    {
        const nlohmann::json *field = this->find(name);
        Reason refusal;
        if (field != nullptr && !decode(*field, target, refusal))
            this->refuseField(name, "is not valid: " + refusal.text);
    }

private:
    // The field `name`; nullptr if it is missing or the reader is invalid.
    const nlohmann::json *find(const char *name) const
    {
        if (!this->isValid)
            return nullptr;
        const auto found = this->json.find(name);
        return found == this->json.end() ? nullptr : &*found;
    }

    void refuseField(const char *name, const std::string &problem)
    {
        this->refuse(std::string("field '") + name + "' " + problem);
    }

    const nlohmann::json &json;
    Reason &reason;
    bool isValid = true;
};

} // namespace flamingo

#endif
