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

/// @brief Event loop with messages between tasks, the tasks around the sockets, and the settings, log events and admin
/// server of the daemon.
namespace daisydoor::runtime
{

/// @brief Component that owns sockets or state and runs on the event loop.
///
/// Tasks do not call each other. A task registers a handler for each message type that it accepts under its name (see
/// task_names), and others look the handler up by name and type.
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

/// @brief Reference to one message handler of a task; empty if default-constructed. Valid for the lifetime of the
/// kernel.
template <typename Message>
class handler_ref
{
  public:
    using handler = std::function<void(Message&)>;

    handler_ref() = default;
    handler_ref(kernel& owner, std::shared_ptr<handler> target) : m_kernel(&owner), m_handler(std::move(target)) {}

    [[nodiscard]] explicit operator bool() const noexcept { return m_handler != nullptr; }

    /// @brief Runs the handler synchronously, without a copy or an allocation. Only for messages whose handler does not
    /// call a handler of the sender in turn.
    void call(Message& message) const { (*m_handler)(message); }

    /// @brief Queues the message; the handler runs after the current event handler has returned.
    void post(Message message) const;

  private:
    kernel* m_kernel = nullptr;
    std::shared_ptr<handler> m_handler;
};

/// @brief Registry of message handlers and queue of deferred functions on one libevent loop, after the microkernel
/// pattern. Everything runs on the thread that calls run().
class kernel
{
  public:
    /// @throws runtime_error with errc::event_loop_failed if libevent cannot create a loop.
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
                                "task '" + task_name + "' already has a handler for this message type");
        }
    }

    /// @brief Looks up the handler of a message type under a task's name. Complexity: logarithmic in the number of
    /// handlers.
    /// @throws runtime_error with errc::unknown_handler if no such handler is registered.
    template <typename Message>
    handler_ref<Message> find_handler(const std::string& task_name)
    {
        if (auto result = find_optional_handler<Message>(task_name)) {
            return result;
        }
        throw runtime_error(errc::unknown_handler, "task '" + task_name + "' has no handler for this message type");
    }

    /// @brief Like find_handler(), but returns an empty reference if no such handler is registered.
    template <typename Message>
    handler_ref<Message> find_optional_handler(const std::string& task_name)
    {
        const auto it = m_handlers.find(handler_key{task_name, typeid(Message)});
        if (it == m_handlers.end()) {
            return {};
        }
        return handler_ref<Message>(*this, std::static_pointer_cast<std::function<void(Message&)>>(it->second));
    }

    /// @brief Adds a task and takes ownership of it. Tasks are destroyed in the reverse order of their addition.
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
    /// @returns the exit code passed to stop()
    /// @throws runtime_error with errc::event_loop_failed if libevent's loop fails.
    int run();

    /// @brief Exits the loop after the current event handler; run() then returns `exit_code`.
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

/// @brief Runs a function and logs an exception that it throws: exceptions must not propagate through libevent's C
/// code.
void run_and_log_exceptions(const std::function<void()>& function) noexcept;

} // namespace daisydoor::runtime
