Feature: Admission of work to the backend server
	A caller's online request arrives at an engine that is full of batch items. The engine has no priorities and would keep the request waiting until an item ends. The agent cancels a batch item, which frees its slot within a step and is resumed later; so the request starts at once and the batch item loses only time.

	Background:
		Given an engine that runs 8 requests at once and an agent that queues up to 4

	Scenario: An online request meets an engine full of batch items
		Given 20 batch items are offered and as many start as allowed
		When an online request of account "kiosk" is offered
		Then the online request starts no later than when one batch item has left
		And the preempted batch items are queued again

	Scenario: Batch work is limited while it makes online tokens slower
		The engine's steps take twice as long beside batch items, so the online caller receives its answer at half the speed. The agent compares this with online work alone, and reduces the number of batch items that run.
		Given 20 batch items are offered and as many start as allowed
		And an online request of account "kiosk" runs
		When its tokens come every 2 ms without batch items and every 4 ms beside them, for 2000 tokens
		Then at most 1 batch item may run
		And 8 batch items may run 100 ms after the online request has ended

	Scenario: An account that floods the queue causes no refusal of other accounts
		One account sends far more than its share and fills the queue, so a request of another account finds it full. The newest request of the flooding account is refused in its place, as "not run", and may be sent again.
		Given 8 online requests of account "flood" run
		And 4 online requests of account "flood" wait
		When an online request of account "kiosk" is offered
		Then a request of account "flood" is refused as "queueFull"
		And the request of account "kiosk" is the next to start

	Scenario: The wait of one account is not counted against another
		Given 8 online requests of account "flood" run
		And 4 online requests of account "flood" wait
		And the backend server takes 10 ms for each token
		When an online request of account "kiosk" with a deadline of 2600 ms is offered
		Then it is not refused

	Scenario: An account over its share leaves slots free for the others
		One account sends far more than its share, and its long requests hold every slot of the engine. A request of another account is next in the queue, but waits until one of them ends. While others are active, an account over its share leaves a quarter of the slots free.
		Given an online request of account "kiosk" has just ended
		When 12 online requests of account "flood" are offered and have their first tokens
		And an online request of account "kiosk" is offered
		Then 6 requests of account "flood" run
		And the request of account "kiosk" has started

	Scenario: A backend server slower than its settings is detected
		The settings promise a fast engine, but the engine is slow. Callers would wait in the queue past their deadlines. The agent uses the measured duration of finished work, and refuses at once with a time after which to retry.
		Given 8 online requests of account "kiosk" run
		And 2 online requests of account "kiosk" wait
		And the backend server takes 100 ms for each token
		When an online request of account "kiosk" with a deadline of 3000 ms is offered
		Then it is refused as "deadline" with a retry time of at least 3000 ms

	Scenario: A long batch prompt yields to an online request
		The engine has begun to compute a batch item's prompt of 100000 tokens when a caller's request arrives. Beside it every step would take many times as long, and the caller would wait seconds for the first token although slots are free. The agent cancels the item, holds it back while online work is present, and starts it again afterwards.
		Given a batch item with a prompt of 100000 tokens has started
		When an online request of account "kiosk" is offered
		Then the long batch item is preempted
		And it does not start again while the online request runs
		And it starts again 100 ms after the online request has ended

	Scenario: A long batch prompt does not wait for ever
		An engine is never without online work. A batch item with a long prompt would yield indefinitely and its job would never end. After a minute it no longer yields.
		Given a batch item with a prompt of 100000 tokens has started
		When an online request of account "kiosk" is offered
		Then the long batch item is preempted
		And it starts again while the online request runs, 61 s after it was first held back
