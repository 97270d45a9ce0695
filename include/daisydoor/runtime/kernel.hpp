#pragma once

#include "daisydoor/runtime/error.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <typeindex>
#include <utility>
#include <vector>

struct event;
struct event_base;

/// @brief Micro-kernel, tasks around sockets, settings, log events and admin server of the daemon.
namespace daisydoor::runtime
{

/// @brief Owner of sockets and state. Tasks find each other by name and communicate by messages.
class task
{
  public:
    task() = default;
    virtual ~task() = default;
    task(const task&) = delete;
    task& operator=(const task&) = delete;

    /// @brief Called once, after all tasks have registered their handlers.
    virtual void start() = 0;
};

class kernel;

/// @brief Typed address of one message handler of a task. Valid as long as the kernel.
template <typename Message>
class handler_ref
{
  public:
    using handler = std::function<void(Message&)>;

    handler_ref() = default;
    handler_ref(kernel& owner, std::shared_ptr<handler> target) : m_kernel(&owner), m_handler(std::move(target)) {}

    [[nodiscard]] explicit operator bool() const noexcept { return m_handler != nullptr; }

    /// @brief Delivers at once, without a copy or an allocation. Only for messages whose handler does not call back.
    void call(Message& message) const { (*m_handler)(message); }

    /// @brief Delivers after the current event handler has returned.
    void post(Message message) const;

  private:
    kernel* m_kernel = nullptr;
    std::shared_ptr<handler> m_handler;
};

/// @brief Service registry and message queue on one libevent loop.
class kernel
{
  public:
    /// @throws runtime_error with errc::event_loop_failed if libevent offers no loop.
    kernel();
    ~kernel();
    kernel(const kernel&) = delete;
    kernel& operator=(const kernel&) = delete;

    [[nodiscard]] event_base* base() const noexcept { return m_base; }

    /// @brief Registers the handler of one message type under the name of a task.
    /// @throws runtime_error with errc::duplicate_handler if a handler for the type is registered under this name.
    template <typename Message>
    void register_handler(const std::string& task_name, std::function<void(Message&)> handler)
    {
        auto entry = std::make_shared<std::function<void(Message&)>>(std::move(handler));
        if (!m_handlers.emplace(handler_key{task_name, typeid(Message)}, std::move(entry)).second) {
            throw runtime_error(errc::duplicate_handler,
                                "task_name '" + task_name + "' handles the message type twice");
        }
    }

    /// @brief Looks up the handler of a message type. Complexity: logarithmic in the number of handlers.
    /// @throws runtime_error with errc::unknown_handler if no such handler is registered.
    template <typename Message>
    handler_ref<Message> find_handler(const std::string& task_name)
    {
        if (auto result = find_optional_handler<Message>(task_name)) {
            return result;
        }
        throw runtime_error(errc::unknown_handler,
                            "no task provides task_name '" + task_name + "' for the message type");
    }

    /// @brief Like find_handler(), but returns an empty port if no such handler is registered.
    template <typename Message>
    handler_ref<Message> find_optional_handler(const std::string& task_name)
    {
        const auto it = m_handlers.find(handler_key{task_name, typeid(Message)});
        if (it == m_handlers.end()) {
            return {};
        }
        return handler_ref<Message>(*this, std::static_pointer_cast<std::function<void(Message&)>>(it->second));
    }

    /// @brief Takes ownership of a task; tasks are destroyed in reverse order.
    template <typename Task>
    Task& add(std::unique_ptr<Task> value)
    {
        Task& result = *value;
        m_tasks.push_back(std::move(value));
        return result;
    }

    /// @brief Runs a function after the current event handler has returned.
    void defer(std::function<void()> function);

    /// @brief Runs the functions deferred so far; those that they defer run in the next round.
    void run_deferred();

    /// @brief Starts all tasks and runs the loop until stop().
    /// @returns the exit code given to stop()
    int run();

    /// @brief Ends the loop after the current event handler.
    void stop(int exit_code);

  private:
    using handler_key = std::pair<std::string, std::type_index>;

    event_base* m_base = nullptr;
    event* m_deferred_event = nullptr;
    int m_exit_code = 0;
    std::deque<std::function<void()>> m_deferred;
    std::map<handler_key, std::shared_ptr<void>> m_handlers;
    std::vector<std::unique_ptr<task>> m_tasks;
};

template <typename Message>
void handler_ref<Message>::post(Message message) const
{
    m_kernel->defer([target = m_handler, value = std::make_shared<Message>(std::move(message))] { (*target)(*value); });
}

/// @brief Runs a function and turns an exception into a log event, since none may cross libevent's C frames.
void run_and_log_exceptions(const std::function<void()>& function) noexcept;

} // namespace daisydoor::runtime
