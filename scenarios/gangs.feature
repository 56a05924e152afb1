Feature: Gangs, backfill and services

  Background:
    Given 4 targets with 16 cores and 4 slots each in domain "north"
    And 4 targets with 16 cores and 4 slots each in domain "south"
    And team "survey" with share 1
    And team "works" with share 1
    And the policy setting share_return_s is none

  Scenario: A gang starts all its tasks at once
    When at 0 s team "survey" submits 1 gang request "gang" of 4 cores for 10 s (20 tasks each)
    And 30 s have passed
    Then all of "gang" are done
    And no invariant is broken

  Scenario: Two gangs that each need most of the capacity don't deadlock
    When at 0 s team "survey" submits 1 gang request "first" of 4 cores for 10 s (24 tasks each)
    And at 0 s team "works" submits 1 gang request "second" of 4 cores for 10 s (24 tasks each)
    And 60 s have passed
    Then all of "first" are done
    And all of "second" are done
    And no invariant is broken

  Scenario: A gang is not starved by a stream of single tasks
    When at 0 s team "works" submits 3000 batch requests "stream" of 4 cores for 2 s every 0.05 s (declared as 2 s)
    And at 5 s team "survey" submits 1 gang request "gang" of 4 cores for 5 s (24 tasks each)
    And 100 s have passed
    Then all of "gang" waited at most 30 s
    And no invariant is broken

  Scenario: Short work uses the room held for a gang and does not delay it
    When at 0 s team "works" submits 16 batch requests "long" of 8 cores for 40 s (declared as 40 s, not idempotent)
    And at 1 s team "survey" submits 1 gang request "gang" of 16 cores for 5 s (8 tasks each)
    And at 15 s team "works" submits 8 batch requests "short" of 4 cores for 5 s (declared as 5 s)
    And 100 s have passed
    Then all of "gang" waited at most 45 s
    And all of "short" are done
    And no invariant is broken

  Scenario: Backfill that runs longer than declared is stopped for the gang
    When at 0 s team "works" submits 8 batch requests "long" of 12 cores for 30 s (declared as 30 s, not idempotent)
    And at 1 s team "survey" submits 1 gang request "gang" of 16 cores for 5 s (8 tasks each)
    And at 15 s team "works" submits 8 batch requests "liars" of 4 cores for 300 s (declared as 5 s)
    And 100 s have passed
    Then all of "gang" waited at most 40 s
    And some of "liars" were preempted
    And no invariant is broken

  Scenario: Capacity is held back for a bounded time only
    Given the policy setting hold_max_s is 20
    When at 0 s team "works" submits 8 batch requests "endless" of 4 cores for 1000 s (declared as 15 s, not idempotent)
    And at 1 s team "survey" submits 1 gang request "gang" of 16 cores for 5 s (8 tasks each)
    And at 20 s team "works" submits 8 batch requests "late" of 12 cores for 1 s (declared as 60 s)
    And 120 s have passed
    Then all of "late" are done
    And no invariant is broken

  Scenario: A gang that loses a task starts again as a whole
    When at 0 s team "survey" submits 1 gang request "gang" of 16 cores for 20 s (4 tasks each)
    And at 5 s target "north-0" dies
    And 90 s have passed
    Then all of "gang" are done
    And no invariant is broken

  Scenario: A gang stays in one rack where it fits
    When at 0 s team "survey" submits 4 gang requests "gang" of 4 cores for 10 s (6 tasks each, in one rack)
    And 5 s have passed
    Then the tasks of each of "gang" share a rack
    And no invariant is broken

  Scenario: A gang above its team's allowance is explained
    When at 0 s the allowance of team "survey" becomes 4
    And at 0 s team "survey" submits 1 gang request "gang" of 1 core for 10 s (6 tasks each)
    And 30 s have passed
    Then all of "gang" are queued
    And "gang" is explained with "allowance of 4"

  Scenario: Services are spread over failure domains
    When at 0 s team "works" submits 8 service requests "site" of 1 core for 1000 s
    And 10 s have passed
    Then "site" are spread evenly over the domains
    And no invariant is broken

  Scenario: Services are spread also where one domain is fuller
    When at 0 s team "works" submits 8 service requests "site" of 1 core for 1000 s every 2 s
    And at 0 s team "survey" submits 6 batch requests "load" of 16 cores for 5 s
    And 30 s have passed
    Then "site" are spread evenly over the domains
    And no invariant is broken
