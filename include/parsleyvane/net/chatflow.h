/**
 * @file
 * @brief One chat completion: its session, its cascade of models, its answer and its bill.
 */
#pragma once

#include "parsleyvane/net/router.h"

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <vector>

namespace parsleyvane {

/**
 * @brief Serves one chat completion.
 *
 * The models of a cascade are asked in turn until an answer passes its rating; where to begin and which answers to have
 * rated is the CascadeController's to say. The last model's answer is taken as it is. A session stays on the version
 * that answered its first turn. The end of the answer is held back for the bill.
 */
class ChatFlow
{
public:
    // constructors
    ChatFlow(RouterContext &context, Exchange &exchange, const Admission &admission, const ModelTask &task);

    // modifiers
    /// @brief Runs to the end; returns why there is no whole answer, or nothing.
    boost::asio::awaitable<std::optional<Failure>> run();

private:
    struct Stage
    {
        ModelVersion version;
        std::size_t index = 0; ///< in the chain
        bool rated = false; ///< its answer is served only if it passes its rating; another one streams as it comes
    };

    bool readSession(LastReason &reason);
    std::optional<std::vector<ModelName>> chain(LastReason &reason) const;
    std::optional<ModelVersion> chooseStage(const ModelName &model, LastReason &reason) const;
    boost::asio::awaitable<bool> runChain(LastReason &reason);
    boost::asio::awaitable<bool> runStage(Stage stage, LastReason &reason);
    boost::asio::awaitable<std::optional<bool>> rate(const ModelAnswer &answer);
    boost::asio::awaitable<bool> deliver(std::string text);
    boost::asio::awaitable<bool> begin();
    boost::asio::awaitable<bool> finish(LastReason &reason);
    ModelQuestion question(const Stage &stage) const;
    CascadeKey cascadeKey() const;
    CascadeTerms cascadeTerms() const;
    bool learns() const;
    Bill bill() const;

    RouterContext &context;
    Exchange &exchange;
    const Admission &admission;
    const ModelTask &task;
    ChatRequest chat;
    std::optional<Session> session;
    bool newSession = false;
    AnswerMetadata facts;
    std::string answerText;
    std::optional<ChatEvents> events;
    RunState combinedRunState = RunState::NotRun;
};

} // namespace parsleyvane
