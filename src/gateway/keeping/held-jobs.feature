Feature: Jobs that keepers hold
  A job that enough keepers hold was accepted: it must be written to the object API. One that a keeper refused was
  not, and must never reappear.

  Scenario: Another front's record of the job exists and is removed
    # The caller sent the job to two fronts. One accepted it and had keepers hold it; the other wrote a record that
    # does not fit, and removes it. A keeper that took that record for its own would remove the job's last copy.
    Given a keeper's jobs, and a record of "a" by another front that judged it too large
    When the keeper holds "a"
    Then "a" is still held, and the other record exists
    When the other front removes its record
    Then the record of "a" is the keeper's, and nothing is held any more

  Scenario: The record that exists was accepted by its front
    Given a keeper's jobs, and a record of "a" by another front that accepted it
    When the keeper holds "a"
    Then the record of "a" is the other front's, and nothing is held any more

  Scenario: The record that exists has results
    Given a keeper's jobs, and a record of "a" by another front that judged it too large
    And a page of results of "a"
    When the keeper holds "a"
    Then the record of "a" is the other front's, and nothing is held any more

  Scenario: A job that has to wait delays no other
    Given a keeper's jobs, and a record of "a" by another front that judged it too large
    When the keeper holds "a"
    And the keeper holds "b"
    Then the record of "b" is the keeper's

  Scenario: A job that the object API refuses for good delays no other
    # Guards against accepted jobs that are never written, since one that is too large is tried before them for ever.
    Given a keeper's jobs
    When the keeper holds "a" of 2000000 bytes
    And the keeper holds "b"
    Then the record of "b" is the keeper's
    And "a" is still held, and was logged as refused once

  Scenario: The disk is full
    # The file's content does not fit. A start that found a part of it, or all of it with its sync failed, would
    # restore a job that the caller was told will never run.
    Given a keeper's disk that is full for "a"
    When the keeper holds "a"
    Then the answer is "refused", and the disk holds no job
    When the keeper holds "b"
    Then the answer is "held"

  Scenario: The disk accepts neither writes nor removals
    # The state of the file is unknown, so nothing may be promised.
    Given a keeper's disk that has failed
    When the keeper holds "a"
    Then the answer is "uncertain"

  Scenario: A keeper whose VM is to be removed holds no further jobs
    # The VM is removed right after the answer, and its disk with it.
    Given a keeper whose object API is unavailable for a while
    When operators request that the keeper's VM be emptied
    Then the keeper refuses to hold "a"
    And the request is answered once the object API is available again

  Scenario: A front without a disk holds a limited part of the jobs that it accepted
    # Guards against a front whose memory fills during a long outage, with jobs that keepers hold as well.
    Given a front's held jobs of at most 5000 bytes, and an object API that is unavailable
    When jobs "a, b, c, d" of 2000 bytes each are added
    Then 2 jobs are held
    When the object API is available again to the front
    Then the records of "a, b" are written, those of "c, d" are not, and nothing is held any more
    When jobs "c, d" of 2000 bytes each are added
    Then the records of "a, b, c, d" are written

  Scenario: A file that cannot be read keeps no keeper from serving
    # Guards against a keeper that ends at each start because of one damaged file, so that no job can be held any more.
    Given a keeper's disk with the held job "a", a torn file and one that cannot be read
    When a keeper starts on that disk
    Then its log has event 768 once
    And the record of "a" is the keeper's
    And it denies no job, since the unreadable file may hold it
    When the keeper holds "b"
    Then the answer is "held"
