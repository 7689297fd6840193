Feature: Batch jobs through failures
  A client hands a job over once and fetches each item's result once, whatever is lost on the way.
  A chunk is handed out, run, committed and answered for; at each of these steps the VM that takes it
  may vanish, pause or lose an answer. The commit is one conditional create a chunk, so whoever comes
  second finds the first one's result; what was not committed is handed out again.

  Scenario Outline: A VM is lost at a step of a chunk
    The client sees its job complete. The VM takes the step, then vanishes without a word; the lease or
    the grant it held lapses, and another one goes on from what the object API holds.

    Given 3 entries and 3 agents
    And a job of 40 items
    When the <vm> is lost as it <step>
    Then the job completes
    And each item has one result

    Examples:
      | vm          | step                       |
      | coordinator | hands a chunk out          |
      | agent       | is handed a chunk          |
      | agent       | runs an item               |
      | agent       | is about to commit a chunk |
      | agent       | has committed a chunk      |
      | coordinator | renews a grant             |
      | coordinator | is about to write a status |
      | coordinator | has written a status       |

  Scenario Outline: Commits that fail
    The client sees its job complete with each item once. The object API takes or refuses a commit and the
    agent does not learn which; it tries again, and recognises its own earlier commit by its writer's token.

    Given 1 entries and 2 agents
    And a job of 40 items
    When <fault>
    Then the job completes
    And each item has one result
    And no item was run twice

    Examples:
      | fault                                                        |
      | the answer to a commit is lost                               |
      | the answers to two commits in a row are lost                 |
      | a commit is refused                                          |
      | a commit is refused twice in a row                           |
      | a commit is refused, then the answer to the next one is lost |

  Scenario: An agent wakes in the middle of a commit after its grant lapsed
    The client sees each item once. The agent is paused with its commit under way; its chunk is handed to
    another agent, which commits first. The late commit finds that result and gives up.

    Given 2 entries and 2 agents
    And a job of 40 items
    When an agent is paused in a commit until another has committed that chunk
    Then the job completes
    And each item has one result

  Scenario: A commit that wakes after the job was cancelled
    The client cancels, is shown `cancelled`, and finds nothing added afterwards. The agent was paused in a
    commit all that time. The end of a job lists the chunks that belong to it; a later commit is not among them.

    Given 1 entries and 1 agents
    And a job of 40 items
    When an agent is paused in a commit until the job is cancelled
    Then the job is cancelled
    And nothing is added to the job after that

  Scenario: A coordinator wakes after another has taken its shard
    The client's cancelled job stops. The first coordinator is cut off from the object API, the second takes
    the lease over and cancels; agents have seen its fencing number and refuse the first one's renewals.

    Given 2 entries and 2 agents
    And a job of 40 items
    And the engines hold their items
    When the coordinator is cut off from the object API until another takes over
    And the client cancels the job
    Then the job is cancelled
    And no agent holds a chunk any more

  Scenario: A coordinator that was cut off takes back nothing that its successor granted
    The client's items are run once. The first coordinator still renews what it knows of; its list lacks what
    the second one granted, and an agent that obeyed it would drop those chunks again and again.

    Given 2 entries and 2 agents
    And engines that take a while for an item
    And the engines hold their items
    And a job of 40 items
    When the coordinator is cut off from the object API until another takes over
    And the engines let their items go
    Then the job completes
    And no item was run twice

  Scenario: A new coordinator takes over the chunks under way
    The client's items are not run again only because an entry was lost: the new coordinator asks the agents
    what they hold, and renews it.

    Given 2 entries and 2 agents
    And engines that take a while for an item
    And the engines hold their items
    And a job of 40 items
    When the coordinator is lost while agents hold chunks
    And another coordinator has taken over
    And the engines let their items go
    Then the job completes
    And the new coordinator knew of the chunks that agents held
    And no item was run twice

  Scenario: A job sent again through another entry
    The client's VM list still shows an entry that was lost right after it accepted the job. The client sends
    the job again, through two other entries at once: the job's key makes it the same object.

    Given 3 entries and 2 agents
    When a job is accepted, its entry is lost, and the client sends it through two others at once
    Then there is one job
    And the job completes
    And each item has one result

  Scenario: A job is deleted, and another input is sent under its key
    An operator clears an ended job away, the client uses its key again. The new job has the id of the old one:
    were the old results taken for its own, the client would receive those of the old input as complete.

    Given 1 entries and 2 agents
    And a job of 8 items
    Then the job completes
    When the job is deleted and 12 items are sent under its key
    Then the new job completes
    And each item has one result
    And 20 items have been run

  Scenario: The object API is down in the middle of a job
    The client's finished items are not lost and not run again. Leases lapse, but nobody else can take them:
    coordinators renew what agents hold, agents keep finished chunks and commit them when it is back.

    Given 2 entries and 2 agents
    And a job of 40 items
    When the object API is down until every lease has lapsed and every held chunk has been run
    Then the job completes
    And each item has one result
    And no item was run twice

  Scenario: Jobs sent while the object API is down
    The client is told at once that its job was not accepted and when to come back, and that is true.

    Given 1 entries and 1 agents
    When the object API is down and a client sends a job
    Then the job is refused as not run, with a time to come back
    And there are no jobs

  Scenario: A slow object API
    The client's job goes on. Each call takes longer than a grant lasts; were the renewals to wait for those
    calls, every grant would lapse and every chunk be run again and again.

    Given 1 entries and 2 agents whose grants are short
    And engines that take a while for an item
    And a job of 40 items
    And each call of the object API takes longer than a grant lasts, but less than a lease
    Then the job completes
    And each item has one result
    And no item was run twice

  Scenario Outline: A job is cancelled
    The client sees `cancelled`, reads every item that was completed before, and finds nothing added later.

    Given 2 entries and 2 agents
    And engines that take a while for an item
    And a job of 40 items
    When the job is cancelled <moment>
    Then the job is cancelled
    And no agent holds a chunk any more
    And its results are those of whole chunks that were committed
    And nothing is added to the job after that

    Examples:
      | moment                               |
      | while chunks run                     |
      | as the last chunk is committed       |
      | right after the object API came back |

  Scenario: A job that is done is cancelled
    The client is told that the job is complete, and all results stay.

    Given 1 entries and 2 agents
    And a job of 40 items
    When the job has completed and is cancelled
    Then the job completes
    And each item has one result

  Scenario: An item that crashes the engine each time
    The client reads a reason for that item and an answer for each of its neighbours. Every item in the engine
    at the crash is under suspicion; the suspects run alone, and one that crashes the engine three times alone
    is given up.

    Given 1 entries and 1 agents
    And a job of 12 items of which item 5 crashes the engine
    Then the job completes
    And each item has one result
    And item 5 has failed with the code "backend_crashed", all others are completed
