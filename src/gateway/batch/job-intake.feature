Feature: The outcome that a caller receives for a job
  "Accepted" lets the caller discard the job, and "refused" lets it send the job elsewhere; both must be true whatever
  other fronts and the object API do at the same moment.

  Scenario: Another front's record of the same job exists and is about to be removed
    # The caller sent the job to two fronts. The first saw little room and wrote a record that does not fit; the second
    # sees much room and finds that record when it writes its own. If it answered "accepted", the first front would
    # remove its record, and the job would be lost.
    Given an intake with a limit of 10000 tokens
    And another front writes a record of "a" with 6000 tokens that does not fit, just before this one does
    When "a" is submitted with 800 tokens
    Then the submission is not accepted
    And no record of "a" exists

  Scenario: A front finds its own record after a lost answer
    Given an intake with a limit of 10000 tokens
    And the answer to the next record of a job is lost
    When "a" is submitted with 800 tokens
    Then the submission is "accepted"

  Scenario: A job whose record may still be written is not refused
    # The first attempt went unanswered, the second was written, and the job does not fit. Once the record is removed,
    # the first attempt may still take effect and run the job: the caller must not be told that it never will.
    Given an intake with a limit of 10000 tokens
    And a job of 5000 tokens waits
    And another front's job of 4900 tokens is written just before this one
    And the first attempt to write a record gets no answer and has no effect
    When "a" is submitted with 800 tokens
    Then the submission is "uncertain"

  Scenario: A job that does not fit in the order of the records is refused
    Given an intake with a limit of 10000 tokens
    And a job of 5000 tokens waits
    And another front's job of 4900 tokens is written just before this one
    When "a" is submitted with 800 tokens
    Then the submission is "full"
    And no record of "a" exists

  Scenario: Room that an end leaves whose record is late
    # Guards against a job that is accepted here and unknown elsewhere: its record precedes that of the end that made room.
    Given an intake with a limit of 10000 tokens
    And a job of 9500 tokens waits
    And the waiting job is asked to end here, and the record of its end is written 300 ms later
    When "a" is submitted with 800 tokens
    Then the submission is "accepted"
    And the record of the end precedes that of "a"

  Scenario: Room that an end leaves whose record is never written
    Given an intake with a limit of 10000 tokens
    And a job of 9500 tokens waits
    And the waiting job is asked to end here, and the record of its end is not written
    When "a" is submitted with 800 tokens
    Then the submission is "full"
    And no record of "a" exists

  Scenario: A job that the object API can't store, while that is unavailable
    # Guards against a job that is accepted, since keepers hold it, and can never be written.
    Given an intake with a limit of 10000 tokens, and keepers that hold any job
    And the object API is unavailable to the intake
    When "a" is submitted with 800 tokens and a body of 1500000 bytes
    Then the submission is "tooLarge"
    When "b" is submitted with 800 tokens and a body of 1000 bytes
    Then the submission is "accepted"
