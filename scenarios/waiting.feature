Feature: Who waits and for how long

  Background:
    Given 2 targets with 16 cores and 4 slots each in domain "north"
    And 2 targets with 16 cores and 4 slots each in domain "south"
    And team "works" with share 1
    And team "proofs" with share 1

  Scenario: Urgent work does not wait behind patient work
    When at 0 s team "works" submits 200 batch requests "renders" of 4 cores for 2 s
    And at 5 s team "proofs" submits 20 latency requests "plates" of 1 core for 0.2 s every 0.5 s
    And 300 s have passed
    Then all of "plates" waited at most 2 s
    And all of "renders" are done
    And no invariant is broken

  Scenario: Urgent work of the same team overtakes its own batch work
    When at 0 s team "works" submits 100 batch requests "renders" of 4 cores for 2 s
    And at 5 s team "works" submits 5 latency requests "plates" of 1 core for 0.2 s
    And 200 s have passed
    Then all of "plates" waited at most 2 s
    And no invariant is broken

  Scenario: Urgent work preempts batch work that may run again
    When at 0 s team "works" submits 40 batch requests "renders" of 4 cores for 100 s (checkpointable)
    And at 10 s team "proofs" submits 2 latency requests "plates" of 4 cores for 1 s
    And 20 s have passed
    Then all of "plates" waited at most 5 s
    And some of "renders" were preempted
    And no invariant is broken

  Scenario: Urgent work never preempts non-idempotent work
    When at 0 s team "works" submits 40 batch requests "walls" of 4 cores for 30 s (not idempotent)
    And at 10 s team "proofs" submits 2 latency requests "plates" of 4 cores for 1 s
    And 120 s have passed
    Then none of "walls" were preempted
    And none of "plates" started before 30 s
    And all of "walls" are done
    And no invariant is broken

  Scenario: Patient work is not starved by urgent work
    Given the policy setting batch_max_wait_s is 20
    When at 0 s team "proofs" submits 2000 latency requests "plates" of 4 cores for 1 s every 0.05 s
    And at 1 s team "works" submits 10 batch requests "renders" of 4 cores for 1 s
    And 150 s have passed
    Then all of "renders" waited at most 30 s
    And no invariant is broken

  Scenario: A large task is not starved by small ones
    Given the policy setting batch_max_wait_s is 20
    When at 0 s team "works" submits 2000 batch requests "small" of 4 cores for 2 s every 0.1 s
    And at 5 s team "works" submits 1 batch request "large" of 16 cores for 5 s
    And 200 s have passed
    Then all of "large" waited at most 60 s
    And no invariant is broken

  Scenario: A head that fits nowhere does not block what is behind it
    When at 0 s team "works" submits 4 batch requests "long" of 14 cores for 100 s (not idempotent)
    And at 1 s team "works" submits 1 batch request "blocked" of 16 cores for 10 s
    And at 2 s team "works" submits 4 batch requests "small" of 2 cores for 1 s
    And 50 s have passed
    Then all of "small" waited at most 1 s
    And none of "blocked" started before 50 s
    And no invariant is broken

  Scenario: A burst of cancellations takes the waiting work out
    When at 0 s team "works" submits 500 batch requests "wave" of 4 cores for 10 s
    And at 5 s all of "wave" are cancelled
    And at 6 s team "proofs" submits 8 batch requests "next" of 4 cores for 1 s
    And 60 s have passed
    Then 484 of "wave" are cancelled
    And all of "next" waited at most 5 s
    And no invariant is broken

  Scenario: Work that can't start before its deadline is refused early
    When at 0 s team "proofs" submits 400 latency requests "flood" of 4 cores for 2 s every 0.02 s (due in 5 s)
    And 60 s have passed
    Then the refusal of "flood" says too_late
    And no invariant is broken

  Scenario: A full queue refuses
    Given queue "intake" for at most 50 waiting requests
    When at 0 s team "works" submits 100 batch requests "flood" of 4 cores for 2 s (on queue "intake")
    And 60 s have passed
    Then 34 of "flood" are refused
    And the refusal of "flood" says queue_full
    And no invariant is broken

  Scenario: A request above the age limit of its queue is refused
    Given queue "intake" for at most 1000 waiting requests and 10 s
    When at 0 s team "works" submits 40 batch requests "long" of 4 cores for 30 s (not idempotent, on queue "intake")
    And 100 s have passed
    Then 16 of "long" are done
    And the refusal of "long" says too_late
    And no invariant is broken

  Scenario: What is larger than any target is refused at once
    When at 0 s team "works" submits 1 batch request "huge" of 17 cores for 1 s
    And at 0 s team "works" submits 1 gang request "wide" of 16 cores for 1 s (5 tasks each)
    And at 0 s team "works" submits 1 batch request "rare" of 1 core for 1 s (1 accelerator)
    And 1 s have passed
    Then the refusal of "huge" says never_fits
    And the refusal of "wide" says never_fits
    And the refusal of "rare" says never_fits
