// Package loomdesign describes the HTTP API of an instance. The package gen
// is generated from it. Errors are not listed here: the table of package
// loomerror maps each kind to its answer.
package loomdesign

import (
	. "goa.design/goa/v3/dsl"
)

var _ = API("swiftloom", func() {
	Title("Swiftloom")
	Description("Serves language-model prompts that return after long gaps, and plain services beside them.")
	Version("1")
})

// ChatMessage is one message of a chat.
var ChatMessage = Type("Message", func() {
	Attribute("role", String, "system, user or assistant", func() { Enum("system", "user", "assistant") })
	Attribute("content", String)
	Required("role", "content")
})

// CatalogueChange is one edit of a catalogue entry. A change without a spec deletes
// the entry.
var CatalogueChange = Type("Change", func() {
	Attribute("kind", String, "Kind of the entry")
	Attribute("name", String, "Name of the entry within its kind")
	Attribute("spec", Any, "The whole new entry")
	Required("kind", "name")
})

func requestHeaders() {
	Header("authorization:Authorization")
	Header("idempotency_key:Idempotency-Key")
	Header("not_repeatable:X-Not-Repeatable")
	Header("deadline_ms:X-Deadline-Ms")
}

func requestAttributes() {
	Attribute("authorization", String, "Bearer key of the client account")
	Attribute("idempotency_key", String, "Key under which the request runs at most once", func() { MaxLength(512) })
	Attribute("not_repeatable", Boolean, "The request may run at most once")
	Attribute("deadline_ms", Int64, "Milliseconds that the caller waits for the answer")
}

func completionAttributes() {
	requestAttributes()
	Attribute("model", String, "Name of a model in the catalogue")
	Attribute("adapter", String, "Name of an adapter of the model")
	Attribute("max_tokens", UInt32, "Most tokens of the answer")
	Attribute("stream", Boolean, "Send tokens as server-sent events")
	Attribute("priority", UInt32, "Higher runs first within the account")
	Required("model")
}

func answerResult() {
	Attribute("content_type", String)
	Attribute("request_id", String)
	Required("content_type", "request_id")
}

func answerHeaders() {
	Header("content_type:Content-Type")
	Header("request_id:X-Request-Id")
}

var _ = Service("completions", func() {
	Description("Answers prompts with the models of the catalogue.")
	Method("complete", func() {
		Payload(func() {
			completionAttributes()
			Attribute("prompt", String, "Text of the prompt")
			Required("prompt")
		})
		Result(answerResult)
		HTTP(func() {
			POST("/v1/completions")
			requestHeaders()
			SkipResponseBodyEncodeDecode()
			Response(StatusOK, answerHeaders)
		})
	})
	Method("chat", func() {
		Payload(func() {
			completionAttributes()
			Attribute("messages", ArrayOf(ChatMessage), "Messages of the chat, oldest first", func() { MinLength(1) })
			Required("messages")
		})
		Result(answerResult)
		HTTP(func() {
			POST("/v1/chat/completions")
			requestHeaders()
			SkipResponseBodyEncodeDecode()
			Response(StatusOK, answerHeaders)
		})
	})
})

var _ = Service("services", func() {
	Description("Passes calls to plain services, and gives out tickets.")
	Method("ticket", func() {
		Description("Gives out an idempotency key that is bound to one instance and works while the platform is out.")
		Payload(func() {
			Attribute("authorization", String, "Bearer key of the client account")
		})
		Result(func() {
			Attribute("ticket", String, "The key, to be sent as Idempotency-Key")
			Attribute("expires_in_seconds", Int, "How long it may be used")
			Required("ticket", "expires_in_seconds")
		})
		HTTP(func() {
			POST("/v1/tickets")
			Header("authorization:Authorization")
			Response(StatusOK)
		})
	})
	Method("call", func() {
		Payload(func() {
			requestAttributes()
			Attribute("name", String, "Name of the upstream group of the service")
			Attribute("path", String, "Path at the service")
			Attribute("request_content_type", String)
			Required("name", "path")
		})
		Result(answerResult)
		HTTP(func() {
			POST("/v1/services/{name}/{*path}")
			requestHeaders()
			Header("request_content_type:Content-Type")
			SkipRequestBodyEncodeDecode()
			SkipResponseBodyEncodeDecode()
			Response(StatusOK, answerHeaders)
		})
	})
})

var _ = Service("catalogue", func() {
	Description("Reads and edits the catalogue. Every method asks for the operator key.")
	Method("list", func() {
		Payload(func() {
			Attribute("authorization", String)
			Attribute("kind", String, "Only entries of this kind")
		})
		Result(Any)
		HTTP(func() {
			GET("/v1/catalogue")
			Header("authorization:Authorization")
			Param("kind")
			Response(StatusOK)
		})
	})
	Method("apply", func() {
		Payload(func() {
			Attribute("authorization", String)
			Attribute("operator", String, "Who makes the change", func() { MinLength(1) })
			Attribute("edit_id", String, "Names the edit, so that a repeated call is recognised", func() { MinLength(1) })
			Attribute("base_revision", UInt64, "Revision that the edit was made from")
			Attribute("changes", ArrayOf(CatalogueChange), func() { MinLength(1) })
			Required("operator", "edit_id", "base_revision", "changes")
		})
		Result(func() {
			Attribute("revision", UInt64, "Revision after the edit")
			Required("revision")
		})
		HTTP(func() {
			POST("/v1/catalogue")
			Header("authorization:Authorization")
			Response(StatusOK)
		})
	})
	Method("history", func() {
		Payload(func() {
			Attribute("authorization", String)
			Attribute("after", UInt64, "Only records after this revision")
		})
		Result(Any)
		HTTP(func() {
			GET("/v1/catalogue/history")
			Header("authorization:Authorization")
			Param("after")
			Response(StatusOK)
		})
	})
})

var _ = Service("health", func() {
	Description("Tells whether the instance lives, takes requests, and what it believes.")
	Method("live", func() {
		Result(String)
		HTTP(func() {
			GET("/healthz")
			Response(StatusOK)
		})
	})
	Method("ready", func() {
		Result(String)
		HTTP(func() {
			GET("/readyz")
			Response(StatusOK)
		})
	})
	Method("status", func() {
		Payload(func() {
			Attribute("authorization", String)
		})
		Result(Any)
		HTTP(func() {
			GET("/v1/status")
			Header("authorization:Authorization")
			Response(StatusOK)
		})
	})
})
