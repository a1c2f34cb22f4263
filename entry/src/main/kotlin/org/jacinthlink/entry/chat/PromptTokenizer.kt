package org.jacinthlink.entry.chat

/** Prompt tokens of [messages]: the words of their `role: content` lines. */
internal fun promptTokens(messages: List<ChatMessage>): List<String> =
    messages.flatMap { "${it.role}: ${it.content}".split(WHITE_SPACE) }.filter { it.isNotEmpty() }

private val WHITE_SPACE = Regex("\\s+")
