/**
 * @file
 * @brief Handles a chat completion: session, cascade of models, answer and bill.
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
 * Calls the models of a cascade in order until an answer is accepted. The CascadeController chooses the first model and
 * the answers to rate; an answer that is not rated is accepted, such as that of the last model. A session stays on the
 * version that answered its first turn. The end of the answer is sent only after BillWriter::submit() has accepted the
 * bill.
 */
class ChatFlow
{
public:
    // constructors
    ChatFlow(RouterContext &context, Exchange &exchange, const Admission &admission, const ModelTask &task);

    // modifiers
    /// @brief Runs the flow to completion; returns why there is no complete answer, or nothing.
    boost::asio::awaitable<std::optional<Failure>> run();

private:
    struct Stage
    {
        ModelVersion version;
        std::size_t index = 0; ///< position in the chain
        bool rated = false; ///< sent only after passing its rating; otherwise streamed as it arrives
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
    ModelCallParameters callParameters(const Stage &stage) const;
    CascadeKey cascadeKey() const;
    CascadeTerms cascadeTerms() const;
    bool isCascaded() const;
    Bill bill() const;

    RouterContext &context;
    Exchange &exchange;
    const Admission &admission;
    const ModelTask &task;
    ChatRequest chat;
    std::optional<Session> session;
    bool newSession = false;
    AnswerMetadata metadata;
    std::string answerText;
    std::optional<ChatEvents> events;
    RunState combinedRunState = RunState::NotRun;
};

} // namespace parsleyvane
