#include "gateway/internal/answer_reader.h"

#include <gtest/gtest.h>

namespace hickorymount::gateway::detail {

using sessions::response_code;

class answer_reader_fixture : public ::testing::Test
{
protected:
    answer_reader_fixture() { append(m_answer, sessions::ready_line{}); }

    partial_answer m_answer;
    const sessions::row_line m_row{"row"};
    const sessions::done_line m_done{"signature"};
    const sessions::error_line m_refusal{response_code::busy, "full"};
    const sessions::ready_line m_ready{};
};

TEST_F(answer_reader_fixture, rows_outcome_and_state_are_an_answer)
{
    EXPECT_EQ(append(m_answer, m_row), read_step::incomplete);
    EXPECT_EQ(append(m_answer, m_done), read_step::incomplete);
    EXPECT_EQ(append(m_answer, m_ready), read_step::answered);
    EXPECT_EQ(m_answer.response.rows, std::vector<std::string>{"row"});
    EXPECT_EQ(m_answer.response.detail, "signature");
}

TEST_F(answer_reader_fixture, refusal_after_rows_is_an_answer_without_rows)
{
    append(m_answer, m_row);
    EXPECT_EQ(append(m_answer, m_refusal), read_step::incomplete);
    EXPECT_EQ(append(m_answer, m_ready), read_step::answered);
    EXPECT_TRUE(m_answer.response.rows.empty());
    EXPECT_EQ(m_answer.response.code, response_code::busy);
}

TEST_F(answer_reader_fixture, second_outcome_is_unreadable)
{
    append(m_answer, m_done);
    partial_answer refused = m_answer;
    EXPECT_EQ(append(m_answer, m_done), read_step::unreadable);
    EXPECT_EQ(append(refused, m_refusal), read_step::unreadable);
}

TEST_F(answer_reader_fixture, row_after_the_outcome_is_unreadable)
{
    append(m_answer, m_done);
    EXPECT_EQ(append(m_answer, m_row), read_step::unreadable);
}

TEST_F(answer_reader_fixture, state_without_an_outcome_repeats_the_answer_to_the_opening_line)
{
    EXPECT_EQ(append(m_answer, m_ready), read_step::opened_again);
    EXPECT_EQ(append(m_answer, m_row), read_step::incomplete);
    EXPECT_EQ(append(m_answer, m_ready), read_step::unreadable);
}

TEST_F(answer_reader_fixture, row_or_outcome_before_the_answer_to_the_opening_line_is_unreadable)
{
    partial_answer opening;
    EXPECT_EQ(append(opening, m_row), read_step::unreadable);
    EXPECT_EQ(append(opening, m_done), read_step::unreadable);
    EXPECT_EQ(append(opening, m_refusal), read_step::refused);
    EXPECT_EQ(opening.response.code, response_code::busy);
}

} // namespace hickorymount::gateway::detail
