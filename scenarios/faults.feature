Feature: Faults, wrong sizes and failure domains

  Background:
    Given 4 targets with 16 cores and 4 slots each in domain "north"
    And 4 targets with 16 cores and 4 slots each in domain "south"
    And team "works" with share 1
    And team "proofs" with share 1

  Scenario: A target that fails everything is quarantined
    When at 0 s target "north-0" fails all tasks
    And at 0 s team "works" submits 300 batch requests "a" of 4 cores for 1 s every 0.1 s
    And 90 s have passed
    Then all of "a" are done
    And target "north-0" got at most 12 starts between 0 s and 90 s
    And no invariant is broken

  Scenario: A repaired target is used again
    When at 0 s target "north-0" fails all tasks
    And at 20 s target "north-0" is repaired
    And at 0 s team "works" submits 2000 batch requests "a" of 4 cores for 1 s every 0.05 s
    And 150 s have passed
    Then all of "a" are done
    And domain "north" got at least 100 starts between 60 s and 100 s
    And no invariant is broken

  Scenario: A job that can never run is abandoned
    When at 0 s team "works" submits 1 batch request "poison" of 1 core for 1 s (never succeeding)
    And at 0 s team "works" submits 50 batch requests "a" of 1 core for 1 s every 0.1 s
    And 60 s have passed
    Then all of "poison" are failed
    And all of "a" are done
    And no invariant is broken

  Scenario: Jobs that can never run don't quarantine every target
    When at 0 s team "works" submits 8 batch requests "poison" of 1 core for 1 s every 2 s (never succeeding)
    And at 1 s team "proofs" submits 100 latency requests "plates" of 1 core for 0.2 s every 0.2 s
    And 60 s have passed
    Then all of "poison" are failed
    And all of "plates" waited at most 2 s
    And no invariant is broken

  Scenario: Nothing starts in a domain that is out
    When at 0 s team "works" submits 2000 batch requests "a" of 4 cores for 1 s every 0.05 s
    And at 20 s domain "north" is taken out
    And at 40 s domain "north" is returned
    And 150 s have passed
    Then domain "north" got no starts between 20.1 s and 39.9 s
    And domain "north" got at least 100 starts between 40 s and 60 s
    And all of "a" are done
    And no invariant is broken

  Scenario: A returned domain is refilled at a limited rate
    When at 0 s domain "north" is taken out
    And at 0 s team "works" submits 200 batch requests "a" of 1 core for 30 s
    And at 10 s domain "north" is returned
    And 60 s have passed
    Then domain "north" got at most 12 starts between 10 s and 11 s
    And domain "north" got at least 16 starts between 10 s and 16 s
    And no invariant is broken

  Scenario: Movable work leaves a domain that is taken out
    When at 0 s team "works" submits 16 batch requests "a" of 4 cores for 60 s (checkpointable)
    And at 0 s team "works" submits 4 batch requests "b" of 4 cores for 60 s (not idempotent)
    And at 10 s domain "north" is taken out
    And 120 s have passed
    Then some of "a" were preempted
    And none of "b" were preempted
    And all of "a" are done
    And no invariant is broken

  Scenario: A task far above its size is stopped and gets more memory
    When at 0 s team "works" submits 1 batch request "a" of 4 cores for 30 s (using 150% of their size, 4 GB)
    And 120 s have passed
    Then all of "a" are done
    And some of "a" were preempted
    And no invariant is broken

  Scenario: A task a little above its size is throttled
    When at 0 s team "works" submits 3 batch requests "a" of 4 cores for 30 s (using 115% of their size)
    And 60 s have passed
    Then 3 tasks were throttled
    And all of "a" are done
    And no invariant is broken

  Scenario: A target dies while a domain is out
    When at 0 s team "works" submits 400 batch requests "a" of 4 cores for 2 s every 0.1 s
    And at 10 s domain "north" is taken out
    And at 12 s target "south-1" dies
    And at 30 s domain "north" is returned
    And 150 s have passed
    Then all of "a" are done
    And no invariant is broken

  Scenario: A wave of cancellations while a target fails everything
    When at 0 s target "south-0" fails all tasks
    And at 0 s team "works" submits 300 batch requests "wave" of 4 cores for 2 s
    And at 5 s all of "wave" are cancelled
    And at 6 s team "proofs" submits 50 latency requests "plates" of 1 core for 0.5 s every 0.1 s
    And 60 s have passed
    Then all of "plates" are done
    And all of "plates" waited at most 3 s
    And no invariant is broken

  Scenario: A gang waits while a domain leaves and returns
    When at 0 s team "works" submits 500 batch requests "a" of 4 cores for 2 s every 0.1 s (declared as 2 s)
    And at 10 s domain "north" is taken out
    And at 12 s team "proofs" submits 1 gang request "gang" of 4 cores for 5 s (24 tasks each)
    And at 40 s domain "north" is returned
    And 150 s have passed
    Then all of "gang" are done
    And all of "a" are done
    And no invariant is broken
