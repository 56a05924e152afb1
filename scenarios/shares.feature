Feature: Shares and limits

  Background:
    Given 4 targets with 16 cores and 4 slots each in domain "north"
    And team "large" with share 3
    And team "small" with share 1

  Scenario: Full capacity is divided by share
    When at 0 s team "large" submits 400 batch requests "a" of 4 cores for 3 s
    And at 0 s team "small" submits 400 batch requests "b" of 4 cores for 3 s
    And 40 s have passed
    Then at 30 s team "large" ran at least 11 tasks
    And at 30 s team "small" ran at least 3 tasks
    And no invariant is broken

  Scenario: Many queues of a team don't multiply its share
    When at 0 s team "large" submits 400 batch requests "a" of 4 cores for 3 s
    And at 0 s team "small" submits 100 batch requests "b" of 4 cores for 3 s (on queue "one")
    And at 0 s team "small" submits 100 batch requests "c" of 4 cores for 3 s (on queue "two")
    And at 0 s team "small" submits 100 batch requests "d" of 4 cores for 3 s (on queue "three")
    And 40 s have passed
    Then at 30 s team "small" ran at most 5 tasks
    And no invariant is broken

  Scenario: An unused share is lent
    When at 0 s team "small" submits 100 batch requests "b" of 4 cores for 3 s
    And 10 s have passed
    Then at 5 s team "small" ran at least 16 tasks
    And no invariant is broken

  Scenario: A lent share comes back within the stated time
    When at 0 s team "small" submits 40 batch requests "b" of 4 cores for 500 s (checkpointable)
    And at 20 s team "large" submits 40 batch requests "a" of 4 cores for 500 s (checkpointable)
    And 60 s have passed
    Then at 45 s team "large" ran at least 11 tasks
    And some of "b" were preempted
    And no invariant is broken

  Scenario: Non-idempotent work is never preempted for a share
    When at 0 s team "small" submits 16 batch requests "b" of 4 cores for 60 s (not idempotent)
    And at 5 s team "large" submits 16 batch requests "a" of 4 cores for 10 s
    And 120 s have passed
    Then none of "b" were preempted
    And all of "b" are done
    And no invariant is broken

  Scenario: Checkpointed work goes on where it was
    When at 0 s team "small" submits 16 batch requests "b" of 4 cores for 40 s (checkpointable)
    And at 10 s team "large" submits 16 batch requests "a" of 4 cores for 10 s
    And 120 s have passed
    Then all of "b" are done
    And all of "a" are done
    And no invariant is broken

  Scenario: A team stays below its allowance
    When at 0 s the allowance of team "large" becomes 5
    And at 1 s team "large" submits 50 batch requests "a" of 1 core for 2 s
    And 60 s have passed
    Then at 10 s team "large" ran at most 5 tasks
    And all of "a" are done
    And no invariant is broken

  Scenario: An allowance lowered below what runs stops movable work
    When at 0 s team "large" submits 6 batch requests "a" of 4 cores for 100 s (checkpointable)
    And at 0 s team "large" submits 6 batch requests "b" of 4 cores for 100 s
    And at 10 s the allowance of team "large" becomes 8
    And 20 s have passed
    Then at 15 s team "large" ran at most 8 tasks
    And some of "a" were preempted
    And none of "b" were preempted
    And no invariant is broken

  Scenario: An allowance lowered below non-idempotent work lets it finish
    When at 0 s team "large" submits 8 batch requests "a" of 4 cores for 20 s (not idempotent)
    And at 5 s the allowance of team "large" becomes 2
    And at 6 s team "large" submits 4 batch requests "b" of 1 core for 1 s
    And 40 s have passed
    Then none of "a" were preempted
    And none of "b" started before 20 s
    And all of "a" are done
