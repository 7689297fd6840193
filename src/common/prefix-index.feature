Feature: An entry's index of the replicas' prefix caches
	A long prompt is sent to the replica that holds its beginning. The engine drops blocks when its memory is full, and its events about that arrive late and with gaps. A block indexed by mistake makes the caller wait while a busy replica computes the whole prompt; so the index of a replica is cleared after a gap.

	Background:
		Given a prompt of 10 blocks, and an engine that has stored them as event 1

	Scenario: A confirmed prompt counts in tokens
		When the agent confirms the prompt to an entry
		Then the entry counts 160 cached tokens

	Scenario: Dropped blocks are removed, those before them are not
		When the agent confirms the prompt to an entry
		And an answer to the first 4 blocks alone is confirmed to the entry
		And the engine drops blocks 5 to 10 as event 2
		And the entry asks the agent for changes
		Then the entry counts 64 cached tokens

	Scenario: The agent misses an event of its engine
		When the agent confirms the prompt to an entry
		And the engine drops blocks 1 to 10 as event 3, and the event before it is lost
		And the entry asks the agent for changes
		Then the agent holds no blocks
		And the entry counts 0 cached tokens

	Scenario: A confirmation that is older than a drop is ignored
		When the engine drops blocks 1 to 10 as event 2
		And the entry asks the agent for changes
		And a confirmation as of event 1 arrives late at the entry
		Then the entry counts 0 cached tokens

	Scenario: Another entry receives answered prompts with the next report
		When the agent confirms the prompt to an entry
		And another entry asks the agent for changes
		Then the other entry counts 160 cached tokens
