package org.jacinthlink.router.standins

import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldEndWith

private val EVENT_ID = Regex("""id: (\d+)""")

/** Ids of the events in [answer], in the order in which they came. */
internal fun eventIds(answer: String): List<Int> =
    EVENT_ID.findAll(answer).map { it.groupValues[1].toInt() }.toList()

/** Checks that [answer] has the events from 1 to [events] once each, and ends as complete. */
internal fun shouldBeWhole(answer: String, events: Int) {
    eventIds(answer) shouldBe (1..events).toList()
    answer shouldEndWith "0\r\n\r\n"
}
