#pragma once

#include "configuration/key_digest.h"
#include "sessions/tests/session_fixture.h"

#include <string>

namespace hickorymount::sessions {

/// Callers belong to the customers "alpine" and "boreal", whose keys are "alpine key" and "boreal key". The
/// database "notices" is public.
class customer_fixture : public session_fixture
{
protected:
    customer_fixture()
    {
        change_configuration([](configuration::configuration& content) {
            content.identifies_customers = true;
            for (const char* name : {"alpine", "boreal"}) {
                content.customers[customer_name{name}].keys = {key_of(name)};
            }
            add_route(content, "notices", configuration::read_consistency::primary);
            content.database_routes.back().is_public = true;
        });
    }

    static key_digest key_of(const std::string& customer)
    {
        return configuration::digest_of_key(customer + " key");
    }

    template <class Change>
    void change_configuration(Change change)
    {
        configuration::versioned_configuration next = *m_view.configuration;
        ++next.version;
        change(next.content);
        m_view.configuration = shared_value(std::move(next));
        publish();
    }

    void withdraw_key_of(const std::string& customer)
    {
        change_configuration([&](configuration::configuration& content) {
            content.customers[customer_name{customer}].keys.clear();
        });
    }

    session_number open_as(const std::string& customer, const std::string& database = "ledger")
    {
        const session_number number = m_next_session++;
        apply_event(session_requested{number, database, false, key_of(customer)});
        return number;
    }

    void submit_write(session_number session)
    {
        submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
    }
};

} // namespace hickorymount::sessions
