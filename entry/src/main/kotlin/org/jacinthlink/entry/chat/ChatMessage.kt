package org.jacinthlink.entry.chat

/** One message of a chat. */
internal data class ChatMessage(val role: String, val content: String)
